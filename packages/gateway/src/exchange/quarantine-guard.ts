/**
 * Keeps one request within the quarantine: refuses it while it holds what
 * crashes targets, and reports whether its runs were answered or crashed their
 * target.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Fingerprint, RequestId, TargetId} from '@samphirefield/core';
import type {Admission, CrashId} from '@samphirefield/policy/quarantine';
import type {Candidate} from '../quarantine/index.js';
import type {TargetAnnouncement} from '../registry/index.js';
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

export interface LostRun {
  readonly run: RequestId;
  readonly target: TargetId;
  readonly address: UpstreamAddress;
  /** How long the target had been sending the body; undefined: not yet. */
  readonly answeringForMs: number | undefined;
}

const refusal = (retryAfterMs: number): LocalResponse => ({
  kind: 'not_run',
  reason: 'targets crashed on requests like this one',
  retryAfterMs,
});

/** Why the end of a target is no crash that this run may have caused. */
function reasonNotCounted(
  state: TargetAnnouncement['state'] | undefined,
  answeringForMs: number | undefined,
): string | undefined {
  if (state !== 'ready') return `target_${state ?? 'unknown'}`;
  if ((answeringForMs ?? 0) >= PROVEN_AFTER_MS) return 'was_answering';
  return undefined;
}

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

  /** Logs a run that its caller or its timeout ended before any answer. */
  noteEndedRun({run, target}: Pick<LostRun, 'run' | 'target'>): void {
    this.deps.logger.info('run_ended_unanswered', {
      request: this.metadata.attemptId,
      run,
      target,
      fingerprint: this.candidate.traits[0]?.fingerprint,
    });
  }

  /** Finds out whether the target of a lost run has crashed. */
  async observeLostRun(lost: LostRun): Promise<void> {
    this.isObserving = true;
    const crash = await this.findCrash(lost);
    this.isObserving = false;
    if (crash === undefined) {
      this.endRun();
      return;
    }
    const {traits} = this.candidate;
    const {trialOf} = this;
    const wasAlone = this.soloOf.length > 0;
    this.takeHeld();
    this.deps.quarantine.recordCrash({crash, traits, trialOf, wasAlone});
  }

  /** Undefined if the run cannot have crashed its target. */
  private async findCrash(lost: LostRun): Promise<CrashId | undefined> {
    const {deps, trialOf, soloOf} = this;
    const {run, target, address, answeringForMs} = lost;
    const announcement = deps.reservations.findTarget(target)?.announcement;
    const isTargetGone = await refusesConnections(address, REFUSAL_TIMEOUT_MS);
    const notCounted = isTargetGone
      ? reasonNotCounted(announcement?.state, answeringForMs)
      : 'accepts_connections';
    deps.logger.warn('run_lost', {
      request: this.metadata.attemptId,
      run,
      target,
      born_ms: announcement?.bornMs,
      target_state: announcement?.state ?? 'unknown',
      target_gone: isTargetGone,
      answering_ms: answeringForMs && Math.round(answeringForMs),
      may_be_cause: notCounted === undefined,
      not_counted: notCounted,
      fingerprint: this.candidate.traits[0]?.fingerprint,
      trial: trialOf.length > 0 || undefined,
      solo: soloOf.length > 0 || undefined,
      prompt_parts: this.metadata.sharedPromptParts.join(','),
    });
    if (notCounted !== undefined || announcement === undefined)
      return undefined;
    return `${target}/${announcement.bornMs}`;
  }
}
