/**
 * A quarantine of one entry, from what it observes itself. An entry decides by
 * it while it is cut off from the leader, which knows what all entries observe.
 */
import type {Fingerprint} from '@samphirefield/core';
import {
  admit,
  assignIncident,
  createHealth,
  createIncidentLog,
  createQuarantine,
  createSolos,
  createTrials,
  endSolos,
  expireSuspects,
  findKnown,
  followQuarantine,
  recordAnswer,
  recordCrashes,
  recordSuccess,
  refusalMs,
  viewOf,
  wasHealthy,
  type Admission,
  type CrashEvidence,
  type QuarantineView,
  type RequestTrait,
} from '@samphirefield/policy/quarantine';
import type {Candidate, Quarantine, RunCrash} from './types.js';

const RETENTION_MS = 7_200_000;

export class LocalQuarantine implements Quarantine {
  private readonly table = createQuarantine();
  private readonly trials = createTrials();
  private readonly solos = createSolos();
  private readonly health = createHealth();
  private readonly incidents = createIncidentLog();
  private view: QuarantineView = viewOf(this.table);

  constructor(private readonly nowMs: () => number) {}

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

  recordCrash(crash: RunCrash): void {
    const nowMs = this.nowMs();
    const next = this.table.nextIncident;
    const incident = crash.wasAlone
      ? next
      : assignIncident(this.incidents, nowMs, next);
    const evidence = this.reportOf(crash);
    recordCrashes(this.table, [evidence], nowMs, incident);
    this.endRun(crash.traits.map(trait => trait.fingerprint));
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

  /** The crash with what this entry knows of its suspects. */
  reportOf({crash, traits, trialOf, wasAlone}: RunCrash): CrashEvidence {
    const nowMs = this.nowMs();
    return {
      crash,
      suspects: traits.map(trait => ({
        ...trait,
        wasHealthy: wasHealthy(this.health, trait.fingerprint, nowMs),
      })),
      failedTrials: trialOf,
      wasAlone,
    };
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
