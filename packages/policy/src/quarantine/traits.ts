/**
 * What a request consists of, as far as a crash may be due to it. A request that
 * is sent again may come under another key of its workspace, with another query,
 * or to another service of a split route; all else stays the same. So it counts
 * twice: exactly as it is, and without what may differ.
 */
import {
  fingerprint,
  type ServiceId,
  type WorkspaceId,
} from '@samphirefield/core';
import type {RequestTrait} from './types.js';

/** Later parts of a prompt are seldom shared. */
const MAX_PROMPT_PARTS = 16;
const ANY_SERVICE = '';
const NO_WORKSPACE = '';

export interface RequestContent {
  readonly service: ServiceId;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  /** Undefined on public routes. */
  readonly workspace: WorkspaceId | undefined;
  /** A digest of the body. */
  readonly bodyDigest: string;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly sharedPromptParts: readonly string[];
}

/** A service's targets share no weights with others', so parts are its own. */
export function traitsOf(
  content: RequestContent,
  digest: (...values: readonly string[]) => string,
): readonly RequestTrait[] {
  const {service, method, url, bodyDigest, sharedPromptParts} = content;
  const {workspace = NO_WORKSPACE} = content;
  const [path = ''] = url.split('?');
  const toTrait = (
    kind: RequestTrait['kind'],
    position: number,
    ...values: readonly string[]
  ): RequestTrait => ({
    fingerprint: fingerprint(digest(...values)),
    kind,
    position,
  });
  const parts = sharedPromptParts
    .slice(0, MAX_PROMPT_PARTS)
    .map((part, position) => toTrait('part', position, service, part));
  return [
    toTrait('request', 0, service, method, url, workspace, bodyDigest),
    toTrait('similar', 0, ANY_SERVICE, method, path, workspace, bodyDigest),
    ...parts,
  ];
}
