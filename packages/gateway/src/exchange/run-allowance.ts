/**
 * Counts the runs of one request, and decides from its route, its stream and
 * its remaining time whether it may run once more.
 */
import {canRunInTime} from '@samphirefield/policy/retries';
import type {Route} from '../routes/index.js';
import {refuseBeforeStop} from './admission.js';
import {mayHaveRun} from './classify-result.js';
import type {AttemptResult, TargetAttempt} from './target-attempt.js';
import type {
  GatewayDependencies,
  LocalResponse,
  RequestMetadata,
} from './types.js';

/**
 * Attempts of one request, including those that a target rejected; a resumable
 * stream counts anew after each run with an event.
 */
const MAX_ATTEMPTS = 4;

export class RunAllowance {
  /** Attempts since a run of a resumable stream last had an event. */
  private attempts = 0;
  /** Number of targets that may have run the request. */
  runCount = 0;
  /** Whether a resumable stream may have run. */
  hasStreamRun = false;
  /** The shortest time to the first event among its runs. */
  private firstEventMs: number | undefined;

  constructor(
    private readonly deps: GatewayDependencies,
    private readonly metadata: RequestMetadata,
    private readonly remainingMs: () => number,
  ) {}

  get hasAttemptLeft(): boolean {
    return this.attempts < MAX_ATTEMPTS;
  }

  countAttempt(): void {
    this.attempts += 1;
  }

  /** Counts an attempt that has ended. */
  record(
    result: AttemptResult,
    {isResumable}: Route,
    attempt: TargetAttempt,
  ): void {
    if (!mayHaveRun(result)) return;
    this.runCount += 1;
    this.hasStreamRun = isResumable;
    const firstEventMs = attempt.firstProgressAfterMs();
    if (firstEventMs === undefined) return;
    if (isResumable) this.attempts = 0;
    this.firstEventMs = Math.min(this.firstEventMs ?? Infinity, firstEventMs);
  }

  /** Whether a stream that has run cannot run again before its deadline. */
  isTooLate(): boolean {
    const remainingMs = this.remainingMs();
    const {hasStreamRun, firstEventMs} = this;
    return hasStreamRun && !canRunInTime({remainingMs, firstEventMs});
  }

  /** Undefined if a run that starts now can end in time. */
  refuseLateRun(route: Route): LocalResponse | undefined {
    if (this.isTooLate()) return {kind: 'timed_out'};
    const {deps, metadata} = this;
    const endsAtMs = deps.nowMs() + this.remainingMs();
    return refuseBeforeStop(deps, metadata, route, endsAtMs);
  }

  /** Whether a stream may run once more beside the run in progress. */
  mayReplace(route: Route, running: TargetAttempt): boolean {
    const hasAttempt = running.hasStarted() || this.hasAttemptLeft;
    const mayRun = hasAttempt && this.runCount + 1 < route.maxRuns;
    const canResume = running.sink()?.canResume ?? true;
    return mayRun && canResume && this.refuseLateRun(route) === undefined;
  }
}
