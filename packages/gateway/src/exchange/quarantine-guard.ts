/**
 * Keeps one request within the quarantine: refuses it while it holds what
 * crashes targets, and reports whether its runs were answered or crashed their
 * target.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Fingerprint, RequestId} from '@samphirefield/core';
import type {Admission, TargetStart} from '@samphirefield/policy/quarantine';
import type {Candidate} from '../quarantine/index.js';
import {refusesConnections, type UpstreamAddress} from '../upstream/index.js';
import type {
  GatewayDependencies,
  LocalResponse,
  RequestMetadata,
} from './types.js';

const REFUSAL_TIMEOUT_MS = 300;
/** How long a request waits for another watched request of its service. */
const SOLO_WAIT_MAX_MS = 400;
const SOLO_POLL_MS = 40;
/** Share of its remaining time that a request waits for that. */
const SOLO_WAIT_SHARE = 0.25;
/** A run that has been answering for this long has not crashed its target. */
export const PROVEN_AFTER_MS = 300;

export interface EndedRun {
  readonly run: RequestId;
  /** The target that the run was sent to last, as it was then. */
  readonly start: TargetStart;
  readonly address: UpstreamAddress;
  /** How long the target had been sending the body; undefined: not yet. */
  readonly answeringForMs: number | undefined;
}

const refusal = (retryAfterMs: number): LocalResponse => ({
  kind: 'not_run',
  reason: 'targets crashed on requests like this one',
  retryAfterMs,
});

export class QuarantineGuard {
  private trialOf: readonly Fingerprint[] = [];
  private soloOf: readonly Fingerprint[] = [];
  private isObserving = false;

  constructor(
    private readonly deps: GatewayDependencies,
    private readonly metadata: RequestMetadata,
    private readonly candidate: Candidate,
  ) {}

  /** The response to a request that cannot be sent now. */
  refuse(): LocalResponse | undefined {
    const {traits} = this.candidate;
    const retryAfterMs = this.deps.quarantine.refusalMs(traits);
    return retryAfterMs === undefined ? undefined : refusal(retryAfterMs);
  }

  /** Decides right before the request is sent; undefined: it may be sent. */
  async refuseRun(remainingMs: number): Promise<LocalResponse | undefined> {
    const waitMs = Math.min(SOLO_WAIT_MAX_MS, remainingMs * SOLO_WAIT_SHARE);
    const untilMs = this.deps.nowMs() + waitMs;
    for (;;) {
      const admission = await this.deps.quarantine.admit(this.candidate);
      const mayWait = this.deps.nowMs() < untilMs;
      if (admission.kind === 'busy' && mayWait) {
        await delay(SOLO_POLL_MS);
        continue;
      }
      return this.apply(admission);
    }
  }

  private apply(admission: Admission): LocalResponse | undefined {
    switch (admission.kind) {
      case 'refused':
      case 'busy':
        return refusal(admission.retryAfterMs);
      case 'trial':
        this.trialOf = admission.suspects;
        break;
      case 'solo':
        this.soloOf = admission.suspects;
        break;
      case 'clear':
        break;
    }
    return undefined;
  }

  recordAnswer(): void {
    this.deps.quarantine.recordAnswer(this.candidate.traits);
    this.endRun();
  }

  /** Lets others run, if this request was on trial or ran alone. */
  endRun(): void {
    if (this.isObserving) return;
    const held = this.takeHeld();
    if (held.length > 0) this.deps.quarantine.endRun(held);
  }

  private takeHeld(): readonly Fingerprint[] {
    const held = [...this.trialOf, ...this.soloOf];
    this.trialOf = [];
    this.soloOf = [];
    return held;
  }

  /**
   * Notes a run that its caller or its timeout ended. The target may have
   * crashed before.
   */
  noteEndedRun(ended: EndedRun): void {
    if (this.wasAnswering(ended)) return;
    const {run, start} = ended;
    this.noteUnanswered(start);
    this.deps.logger.info('run_ended_unanswered', {
      request: this.metadata.attemptId,
      run,
      target: start.target,
      fingerprint: this.candidate.traits[0]?.fingerprint,
    });
  }

  /** Notes a lost run, and finds out whether its target has crashed. */
  async observeLostRun(lost: EndedRun): Promise<void> {
    const wasAnswering = this.wasAnswering(lost);
    if (!wasAnswering) this.noteUnanswered(lost.start);
    this.isObserving = true;
    const isGone = await refusesConnections(lost.address, REFUSAL_TIMEOUT_MS);
    const mayBeCrash = isGone && this.leavingState(lost.start) === undefined;
    const isCut = mayBeCrash && (await this.hasLostLinks(lost.start));
    this.isObserving = false;
    const leaving = this.leavingState(lost.start);
    this.logLostRun(lost, isGone, isCut, leaving, wasAnswering);
    if (isGone && !isCut && leaving === undefined)
      this.deps.quarantine.recordCrash(lost.start, true);
    this.endRun();
  }

  private async hasLostLinks(start: TargetStart): Promise<boolean> {
    return (await this.deps.hasLostLinks?.(start)) ?? false;
  }

  private wasAnswering({answeringForMs}: EndedRun): boolean {
    return (answeringForMs ?? 0) >= PROVEN_AFTER_MS;
  }

  private noteUnanswered(start: TargetStart): void {
    const {trialOf} = this;
    const {traits} = this.candidate;
    const wasAlone = this.soloOf.length > 0;
    this.deps.quarantine.noteUnanswered({start, traits, trialOf, wasAlone});
  }

  /** Undefined unless this start of the target said that it leaves. */
  private leavingState(start: TargetStart): string | undefined {
    if (this.deps.statements.hasLeft(start)) return 'leaving';
    const {target, bornMs} = start;
    const announcement =
      this.deps.reservations.findTarget(target)?.announcement;
    if (announcement?.bornMs !== bornMs || announcement.hasCrashed)
      return undefined;
    return announcement.state === 'ready' ? undefined : announcement.state;
  }

  private logLostRun(
    {run, start, answeringForMs}: EndedRun,
    isGone: boolean,
    isCut: boolean,
    leaving: string | undefined,
    wasAnswering: boolean,
  ): void {
    this.deps.logger.warn('run_lost', {
      request: this.metadata.attemptId,
      run,
      target: start.target,
      born_ms: start.bornMs,
      target_state: leaving ?? 'ready',
      target_gone: isGone,
      links_cut: isCut || undefined,
      answering_ms: answeringForMs && Math.round(answeringForMs),
      may_be_cause: isGone && !isCut && leaving === undefined && !wasAnswering,
      fingerprint: this.candidate.traits[0]?.fingerprint,
      trial: this.trialOf.length > 0 || undefined,
      solo: this.soloOf.length > 0 || undefined,
      prompt_parts: this.metadata.sharedPromptParts.join(','),
    });
  }
}
