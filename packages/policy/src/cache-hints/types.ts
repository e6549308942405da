/** What targets say of the prompt prefixes in their caches. */
import type {TargetId} from '@samphirefield/core';

export interface CacheRow {
  nextSeq: number;
  readonly prefixes: Set<string>;
}

export type CacheTable = Map<TargetId, CacheRow>;
