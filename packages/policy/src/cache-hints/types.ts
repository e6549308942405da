/** Types of the prompt prefixes that targets report in their caches. */
import type {TargetId} from '@samphirefield/core';

/** The reported cache of one target. */
export interface CacheRow {
  /** Sequence number of the next expected event. */
  nextSeq: number;
  /** Prefixes in the order in which they were last stored. */
  readonly prefixes: Set<string>;
}

export interface CacheTable {
  readonly rows: Map<TargetId, CacheRow>;
  /** Index by prefix, to look up the targets for a request. */
  readonly targetsByPrefix: Map<string, Set<TargetId>>;
}
