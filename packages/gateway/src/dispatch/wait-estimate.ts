/**
 * Estimates how long a demand would wait, from the demands ahead of it and the
 * rate at which demands were granted lately. Answers overload: a demand that
 * cannot be served is refused at once, and its caller is told when to return.
 */
import type {ServiceId} from '@samphirefield/core';

/** Grants older than this say little about the present rate. */
const RATE_WINDOW_MS = 2_000;
/** Fewer grants than this are no basis for an estimate. */
const MIN_GRANTS = 5;
const MS_PER_S = 1_000;

export class WaitEstimate {
  private readonly grantsAtMs = new Map<ServiceId, number[]>();

  recordGrant(service: ServiceId, nowMs: number): void {
    const grants = this.grantsAtMs.get(service) ?? [];
    grants.push(nowMs);
    while (grants[0]! < nowMs - RATE_WINDOW_MS) grants.shift();
    this.grantsAtMs.set(service, grants);
  }

  /** Undefined while there is no basis for an estimate. */
  waitMs(
    service: ServiceId,
    demandsAhead: number,
    nowMs: number,
  ): number | undefined {
    const recent = (this.grantsAtMs.get(service) ?? []).filter(
      atMs => atMs >= nowMs - RATE_WINDOW_MS,
    ).length;
    if (recent < MIN_GRANTS) return undefined;
    const grantsPerS = recent / (RATE_WINDOW_MS / MS_PER_S);
    return (demandsAhead / grantsPerS) * MS_PER_S;
  }
}
