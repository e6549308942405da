/**
 * What a daemon sends of a document: the deltas since the version that the
 * receiver has, or the whole document. Long ones are compressed.
 */
import {promisify} from 'node:util';
import {deflateRaw, inflateRaw} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {applyDelta, type DocumentDelta} from './document-delta.js';

const COMPRESSED_FROM_CHARS = 1_024;
/** Bounds what an update can take in memory. */
const MAX_TEXT_BYTES = 67_108_864;

/** Version of the receiver that has no document. */
export const NO_VERSION = 0;

/** Part of a message between daemons; sent as JSON. */
export interface DocumentUpdate {
  /** The version to which the deltas apply; 0: `text` is the document. */
  readonly baseVersion: number;
  readonly text?: string;
  /** In place of `text`: base64 of its deflated bytes. */
  readonly deflated?: string;
}

/**
 * `other_base`: the deltas apply to another version; `unreadable`: they apply to
 * no document of the receiver.
 */
export type UpdateError = 'other_base' | 'unreadable';

/** A document and the version that names it. */
export interface VersionedDocument {
  readonly version: number;
  readonly value: unknown;
}

const deflate = promisify(deflateRaw);
const inflate = promisify(inflateRaw);

export async function encodeUpdate(
  baseVersion: number,
  text: string,
): Promise<DocumentUpdate> {
  if (text.length < COMPRESSED_FROM_CHARS) return {baseVersion, text};
  const deflated = await deflate(text);
  return {baseVersion, deflated: deflated.toString('base64')};
}

async function textOf({text, deflated}: DocumentUpdate): Promise<string> {
  if (deflated === undefined) return text ?? '';
  const bytes = Buffer.from(deflated, 'base64');
  const inflated = await inflate(bytes, {maxOutputLength: MAX_TEXT_BYTES});
  return inflated.toString('utf8');
}

function applyDeltas(
  before: unknown,
  deltas: readonly DocumentDelta[],
): Result<unknown, UpdateError> {
  let value = before;
  for (const delta of deltas) {
    const next = applyDelta(value, delta);
    if (next.isErr()) return err('unreadable');
    value = next.value;
  }
  return ok(value);
}

/**
 * Returns the document that the update leads to. `known` is read once the update
 * is unpacked, since another one may be applied meanwhile.
 */
export async function readUpdate(
  update: DocumentUpdate,
  known: () => VersionedDocument | undefined,
): Promise<Result<unknown, UpdateError>> {
  const {baseVersion} = update;
  try {
    const content: unknown = JSON.parse(await textOf(update));
    if (baseVersion === NO_VERSION) return ok(content);
    const base = known();
    if (base?.version !== baseVersion) return err('other_base');
    return applyDeltas(base.value, content as readonly DocumentDelta[]);
  } catch {
    return err('unreadable');
  }
}
