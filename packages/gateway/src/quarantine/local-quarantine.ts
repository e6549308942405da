/**
 * A quarantine of one entry, from what it observes itself. An entry decides by
 * it while it is cut off from the leader, which knows what all entries observe.
 */
import type {Fingerprint} from '@samphirefield/core';
import {
  admit,
  assignIncident,
  crashIdOf,
  createHealth,
  createIncidentLog,
  createQuarantine,
  createSolos,
  createTrials,
  createUnansweredRuns,
  endSolos,
  expireSuspects,
  findKnown,
  followQuarantine,
  hasStart,
  nameCrash,
  noteUnanswered,
  recordAnswer,
  recordCrashes,
  recordSuccess,
  refusalMs,
  retractCrash,
  takeUnanswered,
  viewOf,
  wasHealthy,
  type Admission,
  type CrashEvidence,
  type CrashId,
  type QuarantineView,
  type RequestTrait,
  type Suspect,
  type TargetStart,
  type UnansweredRun,
} from '@samphirefield/policy/quarantine';
import type {Candidate, Quarantine} from './types.js';

const RETENTION_MS = 7_200_000;
const MAX_CRASHED_STARTS = 256;

export class LocalQuarantine implements Quarantine {
  private readonly table = createQuarantine();
  private readonly trials = createTrials();
  private readonly solos = createSolos();
  private readonly health = createHealth();
  private readonly incidents = createIncidentLog();
  /** Starts that have crashed, and whether that is certain. */
  private readonly crashedStarts = new Map<CrashId, boolean>();
  private readonly unanswered = createUnansweredRuns();
  private view: QuarantineView = viewOf(this.table);

  /** `report` receives each crash in which runs of this entry were involved. */
  constructor(
    private readonly nowMs: () => number,
    private readonly report: (evidence: CrashEvidence) => void = () =>
      undefined,
  ) {}

  refusalMs(traits: readonly RequestTrait[]): number | undefined {
    if (this.view.quarantined.length === 0) return undefined;
    this.expire();
    const known = findKnown(requestOf(traits), this.view);
    return refusalMs(known.quarantined, this.trials, this.nowMs());
  }

  /** `watched` is what others watch. */
  admit(
    {service, traits}: Candidate,
    watched: readonly Fingerprint[] = [],
  ): Promise<Admission> {
    const request = {service, ...requestOf(traits)};
    const known = findKnown(request, this.view);
    const all = {...known, watched: [...known.watched, ...watched]};
    return Promise.resolve(
      admit(
        {trials: this.trials, solos: this.solos},
        request,
        all,
        this.nowMs(),
      ),
    );
  }

  noteUnanswered(run: Omit<UnansweredRun, 'endedAtMs'>): void {
    noteUnanswered(this.unanswered, {...run, endedAtMs: this.nowMs()});
    const crash = this.crashOf(run.start);
    if (crash) this.recordCrash(run.start, crash.isCertain);
  }

  /** Undefined unless this start is known to have crashed. */
  private crashOf(
    start: TargetStart,
  ): {readonly isCertain: boolean} | undefined {
    const isCertain = this.crashedStarts.get(crashIdOf(start));
    return isCertain === undefined ? undefined : {isCertain};
  }

  /** Whether this start has crashed for certain. */
  hasCrashed(start: TargetStart): boolean {
    return this.crashOf(start)?.isCertain ?? false;
  }

  recordCrash(start: TargetStart, isCertain: boolean): void {
    const nowMs = this.nowMs();
    const runs = takeUnanswered(this.unanswered, start, nowMs);
    this.rememberCrash(start, isCertain);
    if (runs.length === 0) return;
    const wasAlone = runs.some(run => run.wasAlone);
    const next = this.table.nextIncident;
    const incident = wasAlone
      ? next
      : assignIncident(this.incidents, nowMs, next);
    const reported: CrashEvidence = {
      crash: crashIdOf(start),
      suspects: this.suspectsOf(runs),
      failedTrials: runs.flatMap(run => run.trialOf),
      wasAlone,
      isCertain,
    };
    const crash = nameCrash(this.incidents, reported.crash, nowMs, incident);
    recordCrashes(this.table, [{...reported, crash}], nowMs, incident);
    this.endRun(reported.suspects.map(({fingerprint}) => fingerprint));
    this.follow();
    this.report(reported);
  }

  /** A target has announced itself again; it may only have been silent. */
  retractCrash(start: TargetStart): void {
    const crash = crashIdOf(start);
    if (!this.crashedStarts.delete(crash)) return;
    retractCrash(this.table, crash);
    this.follow();
  }

  recordAnswer(traits: readonly RequestTrait[]): void {
    const nowMs = this.nowMs();
    const {version} = this.table;
    for (const {fingerprint} of traits) {
      recordAnswer(this.health, fingerprint, nowMs);
      recordSuccess(this.table, fingerprint);
    }
    this.endRun(traits.map(trait => trait.fingerprint));
    if (this.table.version !== version) this.follow();
  }

  endRun(suspects: readonly Fingerprint[]): void {
    endSolos(this.solos, suspects);
  }

  /** Runs on this start may end a while after it. */
  private rememberCrash(start: TargetStart, isCertain: boolean): void {
    const crash = crashIdOf(start);
    if (!hasStart(crash)) return;
    this.crashedStarts.delete(crash);
    this.crashedStarts.set(crash, isCertain);
    const [oldest] = this.crashedStarts.keys();
    if (this.crashedStarts.size > MAX_CRASHED_STARTS)
      this.crashedStarts.delete(oldest!);
  }

  /** The suspects with what this entry knows of them. */
  private suspectsOf(runs: readonly UnansweredRun[]): Suspect[] {
    const nowMs = this.nowMs();
    return runs.flatMap(run =>
      run.traits.map(trait => ({
        ...trait,
        wasHealthy: wasHealthy(this.health, trait.fingerprint, nowMs),
      })),
    );
  }

  private expire(): void {
    const {version} = this.table;
    expireSuspects(this.table, this.nowMs(), RETENTION_MS);
    if (this.table.version !== version) this.follow();
  }

  private follow(): void {
    this.view = viewOf(this.table);
    followQuarantine(this.trials, this.view.quarantined, this.nowMs());
  }
}

const requestOf = (traits: readonly RequestTrait[]) => ({
  fingerprints: traits.map(trait => trait.fingerprint),
});
