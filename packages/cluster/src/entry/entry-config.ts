/** The configuration that an entry builds from the state of the control group. */
import {err, ok, type Result} from 'neverthrow';
import {zoneId} from '@samphirefield/core';
import {buildRouteIndex, type ActiveConfig} from '@samphirefield/gateway';
import type {ConfigDecoder} from '../config-decoder.js';
import type {StateUpdate} from '../control/index.js';
import {
  NO_VERSION,
  readUpdate,
  type UpdateError,
  type VersionedDocument,
} from '../documents/index.js';

export interface EntryConfig {
  readonly active: ActiveConfig;
  readonly document: VersionedDocument;
}

export interface NextConfig {
  readonly config: EntryConfig;
  readonly hasNewTable: boolean;
}

/** `none`: no configuration was accepted yet. */
export type ConfigError = 'none' | UpdateError;

function parse(text: string): Result<unknown, 'unreadable'> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err('unreadable');
  }
}

/** The document of a state whose version differs from that of `current`. */
async function documentOf(
  {version, document, update}: StateUpdate,
  current: () => EntryConfig | undefined,
): Promise<Result<VersionedDocument, ConfigError>> {
  if (version === NO_VERSION) return err('none');
  if (update === undefined && document === undefined) return err('other_base');
  const value = update
    ? await readUpdate(update, () => current()?.document)
    : parse(document!);
  return value.map(read => ({version, value: read}));
}

/**
 * Builds the configuration of a state. The table of the current configuration is
 * kept if the state has the same version.
 */
export async function nextConfig(
  state: StateUpdate,
  current: () => EntryConfig | undefined,
  decode: ConfigDecoder,
): Promise<Result<NextConfig, ConfigError>> {
  const {index, version} = state;
  const zonesOut = new Set(state.zonesOut.map(zone => zoneId(zone)));
  const kept = current();
  if (kept?.document.version === version) {
    const {routeIndex, view} = kept.active;
    const active = {view: {index, table: view.table, zonesOut}, routeIndex};
    return ok({config: {...kept, active}, hasNewTable: false});
  }
  const document = await documentOf(state, current);
  if (document.isErr()) return err(document.error);
  const decoded = decode(document.value.value);
  if (decoded.isErr()) return err('unreadable');
  const table = decoded.value;
  const routeIndex = buildRouteIndex(table);
  const active = {view: {index, table, zonesOut}, routeIndex};
  const config = {active, document: document.value};
  return ok({config, hasNewTable: true});
}

/** Characters of the document, or of what leads to it; undefined: neither came. */
export function sizeOf({document, update}: StateUpdate): number | undefined {
  return (update?.deflated ?? update?.text ?? document)?.length;
}
