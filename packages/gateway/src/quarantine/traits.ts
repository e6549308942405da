/** Computes what a request consists of, as far as a crash may be due to it. */
import {createHash} from 'node:crypto';
import {fingerprint, type ServiceId} from '@samphirefield/core';
import type {RequestTrait} from './types.js';

const DIGEST_BYTES = 9;
/** Later parts of a prompt are seldom shared. */
const MAX_PROMPT_PARTS = 16;

export interface RequestContent {
  readonly service: ServiceId;
  readonly method: string;
  readonly url: string;
  /** Who sent the request. */
  readonly caller: string;
  readonly body: Buffer;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly sharedPromptParts: readonly string[];
}

function digest(...values: ReadonlyArray<string | Buffer>): string {
  const hash = createHash('sha1');
  for (const value of values) hash.update(value).update('\n');
  return hash.digest().toString('base64url', 0, DIGEST_BYTES);
}

/** A service's targets share no weights with others', so it is part of each. */
export function traitsOf(content: RequestContent): readonly RequestTrait[] {
  const {service, method, url, caller, body, sharedPromptParts} = content;
  const request: RequestTrait = {
    fingerprint: fingerprint(digest(service, method, url, caller, body)),
    kind: 'request',
    position: 0,
  };
  const shared = sharedPromptParts.slice(0, MAX_PROMPT_PARTS);
  const parts = shared.map((part, position): RequestTrait => ({
    fingerprint: fingerprint(digest(service, part)),
    kind: 'part',
    position,
  }));
  return [request, ...parts];
}
