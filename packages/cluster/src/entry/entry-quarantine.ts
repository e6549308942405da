/**
 * An entry's part of the quarantine: follows the table that the control group
 * replicates, reports crashes and answers to the leader, and asks it for trials.
 * Without a leader the entry also decides by what it has observed itself.
 */
import type {Fingerprint, Logger} from '@samphirefield/core';
import {
  LocalQuarantine,
  type Candidate,
  type Quarantine,
} from '@samphirefield/gateway';
import {
  createTrials,
  followQuarantine,
  refusalMs,
  type Admission,
  type CrashEvidence,
  type QuarantineView,
  type RequestTrait,
  type SuspectRequest,
  type TargetStart,
  type UnansweredRun,
} from '@samphirefield/policy/quarantine';
import type {CrashMessage, SuspectsMessage} from '../control/index.js';
import type {Peer} from '../link/index.js';

const REPORT_TIMEOUT_MS = 2_000;
const REPORT_AGAIN_AFTER_MS = 200;
/** A crash that could not be reported for this long is forgotten. */
const REPORT_MAX_AGE_MS = 60_000;
const MAX_UNREPORTED = 64;
const ADMISSION_TIMEOUT_MS = 500;
/** When to come back if the leader does not answer. */
const NO_ANSWER_RETRY_MS = 1_000;

export interface EntryQuarantineOptions {
  readonly leader: () => Peer | undefined;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

interface UnreportedCrash {
  readonly evidence: CrashEvidence;
  readonly crashedAtMs: number;
}

export class EntryQuarantine implements Quarantine {
  private readonly local: LocalQuarantine;
  private readonly trials = createTrials();
  private version = -1;
  private suspects = new Set<Fingerprint>();
  private quarantined = new Set<Fingerprint>();
  private watched = new Set<Fingerprint>();
  private readonly unreported = new Set<UnreportedCrash>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EntryQuarantineOptions) {
    this.local = new LocalQuarantine(options.nowMs, evidence =>
      this.addReport(evidence),
    );
  }

  get quarantinedCount(): number {
    return this.quarantined.size;
  }

  /** Takes over the table that a control daemon sent, unless it is outdated. */
  follow(view: QuarantineView): void {
    if (view.version <= this.version) return;
    this.version = view.version;
    this.suspects = new Set(view.suspects);
    this.watched = new Set(view.watched ?? []);
    this.quarantined = new Set(view.quarantined.map(row => row.fingerprint));
    followQuarantine(this.trials, view.quarantined, this.options.nowMs());
  }

  refusalMs(traits: readonly RequestTrait[]): number | undefined {
    const found = this.among(this.quarantined, traits);
    const sharedMs = refusalMs(found, this.trials, this.options.nowMs());
    if (sharedMs !== undefined || this.options.leader()) return sharedMs;
    return this.local.refusalMs(traits);
  }

  async admit(candidate: Candidate): Promise<Admission> {
    const {traits} = candidate;
    const retryAfterMs = this.refusalMs(traits);
    if (retryAfterMs !== undefined) return {kind: 'refused', retryAfterMs};
    const quarantined = this.among(this.quarantined, traits);
    const watched = this.among(this.watched, traits);
    const leader = this.options.leader();
    if (leader === undefined && quarantined.length === 0)
      return this.local.admit(candidate, watched);
    const isKnown =
      quarantined.length > 0 || watched.length > 0 || this.isReported(traits);
    return isKnown ? this.askLeader(leader, candidate) : {kind: 'clear'};
  }

  noteUnanswered(run: Omit<UnansweredRun, 'endedAtMs'>): void {
    this.local.noteUnanswered(run);
  }

  recordCrash(start: TargetStart, isCertain: boolean): void {
    this.local.recordCrash(start, isCertain);
  }

  /** Whether this start has crashed for certain. */
  hasCrashed(start: TargetStart): boolean {
    return this.local.hasCrashed(start);
  }

  /** A target that only was silent has announced itself again. */
  retractCrash(start: TargetStart): void {
    this.local.retractCrash(start);
  }

  recordAnswer(traits: readonly RequestTrait[]): void {
    this.local.recordAnswer(traits);
    const fingerprints = traits
      .map(trait => trait.fingerprint)
      .filter(item => this.suspects.has(item) || this.quarantined.has(item));
    if (fingerprints.length === 0) return;
    const message: SuspectsMessage = {fingerprints};
    this.options.leader()?.notify('suspects_answered', message);
  }

  endRun(suspects: readonly Fingerprint[]): void {
    this.local.endRun(suspects);
    const message: SuspectsMessage = {fingerprints: suspects};
    this.options.leader()?.notify('suspects_ended', message);
  }

  stop(): void {
    clearTimeout(this.timer);
    this.unreported.clear();
  }

  private addReport(evidence: CrashEvidence): void {
    const [oldest] = this.unreported;
    if (this.unreported.size >= MAX_UNREPORTED && oldest) this.forget(oldest);
    const item = {evidence, crashedAtMs: this.options.nowMs()};
    this.unreported.add(item);
    void this.report(item);
  }

  private among(
    known: ReadonlySet<Fingerprint>,
    traits: readonly RequestTrait[],
  ): Fingerprint[] {
    if (known.size === 0) return [];
    return traits
      .map(trait => trait.fingerprint)
      .filter(item => known.has(item));
  }

  /** Whether a crash with one of these traits is on its way to the leader. */
  private isReported(traits: readonly RequestTrait[]): boolean {
    if (this.unreported.size === 0) return false;
    const own = new Set(traits.map(trait => trait.fingerprint));
    return [...this.unreported].some(({evidence}) =>
      evidence.suspects.some(({fingerprint}) => own.has(fingerprint)),
    );
  }

  private async askLeader(
    leader: Peer | undefined,
    {service, traits}: Candidate,
  ): Promise<Admission> {
    const request: SuspectRequest = {
      service,
      fingerprints: traits.map(trait => trait.fingerprint),
    };
    const admission = await leader
      ?.request<Admission>('admit_suspects', request, ADMISSION_TIMEOUT_MS)
      .catch(() => undefined);
    return admission ?? {kind: 'busy', retryAfterMs: NO_ANSWER_RETRY_MS};
  }

  private async report(item: UnreportedCrash): Promise<void> {
    const ageMs = this.options.nowMs() - item.crashedAtMs;
    const message: CrashMessage = {crash: item.evidence, ageMs};
    const isRecorded = await this.options
      .leader()
      ?.request<boolean>('crash', message, REPORT_TIMEOUT_MS)
      .catch(() => false);
    if (isRecorded) this.unreported.delete(item);
    else this.reportLater();
  }

  private reportLater(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      const oldestMs = this.options.nowMs() - REPORT_MAX_AGE_MS;
      for (const item of this.unreported) {
        if (item.crashedAtMs < oldestMs) this.forget(item);
        else void this.report(item);
      }
    }, REPORT_AGAIN_AFTER_MS);
  }

  private forget(item: UnreportedCrash): void {
    this.unreported.delete(item);
    const {crash} = item.evidence;
    this.options.logger.warn('crash_not_reported', {crash});
  }
}
