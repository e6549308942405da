/**
 * When the response of an attempt made progress: an event, or data of a response
 * that is no stream. Times are those of `performance.now`.
 */
export class AttemptProgress {
  private readonly startedAtMs = performance.now();
  /** At first, when the attempt started. */
  lastAtMs = this.startedAtMs;
  private firstAtMs: number | undefined;
  private isPaused = false;
  private resumedAtMs = 0;

  /** `continuesRun`: the run began on an earlier target. */
  constructor(continuesRun: boolean) {
    if (continuesRun) this.firstAtMs = this.startedAtMs;
  }

  /** Returns whether this is the first progress. */
  note(): boolean {
    this.lastAtMs = performance.now();
    const isFirst = this.firstAtMs === undefined;
    this.firstAtMs ??= this.lastAtMs;
    return isFirst;
  }

  /** The target was kept from sending. */
  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    this.resumedAtMs = performance.now();
  }

  get hasBegun(): boolean {
    return this.firstAtMs !== undefined;
  }

  /** Since when the response is read as it arrives; Infinity while paused. */
  get readSinceMs(): number {
    return this.isPaused ? Infinity : this.resumedAtMs;
  }

  /** Time between the first and the last progress. */
  lastedMs(): number {
    return this.firstAtMs === undefined ? 0 : this.lastAtMs - this.firstAtMs;
  }

  /** Time without progress that the caller did not cause. */
  stalledMs(): number {
    const sinceMs = Math.max(this.lastAtMs, this.resumedAtMs);
    return this.isPaused ? 0 : performance.now() - sinceMs;
  }

  /** Time from the start to the first progress; undefined before it. */
  firstAfterMs(): number | undefined {
    return this.firstAtMs && this.firstAtMs - this.startedAtMs;
  }

  /** Time since the first progress; undefined before it. */
  sinceFirstMs(): number | undefined {
    return this.firstAtMs && performance.now() - this.firstAtMs;
  }
}
