/** What targets say of the prompt prefixes in their caches. */
import type {TargetId} from '@samphirefield/core';

export interface CacheRow {
  nextSeq: number;
  readonly prefixes: Set<string>;
}

export interface CacheTable {
  readonly rows: Map<TargetId, CacheRow>;
  /** The same by prefix, for the look-up of a request. */
  readonly targetsByPrefix: Map<string, Set<TargetId>>;
}
