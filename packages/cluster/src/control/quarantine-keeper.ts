/**
 * The leader's part of the quarantine: replicates the crashes that entries
 * report, and permits one trial of a quarantined suspect and one run of a
 * watched request at a time. Every control daemon follows the table, so a new
 * leader knows the delays.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Fingerprint, Logger} from '@samphirefield/core';
import {
  admit,
  assignIncident,
  crashIdOf,
  createIncidentLog,
  createSolos,
  createTrials,
  endSolos,
  findKnown,
  findStale,
  followQuarantine,
  nameCrash,
  viewOf,
  type Admission,
  type CrashEvidence,
  type QuarantineTable,
  type QuarantineView,
  type SuspectRequest,
  type TargetStart,
} from '@samphirefield/policy/quarantine';
import type {CrashMessage} from './messages.js';
import type {QuarantineCommand} from './state-machine.js';

/** Reports that come within this time are replicated together. */
const GATHER_CRASHES_MS = 5;
/** When to come back while this daemon does not know the table. */
const UNKNOWN_RETRY_MS = 1_000;
const RETENTION_MS = 7_200_000;

export interface QuarantineKeeperOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly isLeader: () => boolean;
  /** Undefined while the replica is not open. */
  readonly table: () => QuarantineTable | undefined;
  /** Resolves with whether the command was applied. */
  readonly submit: (command: QuarantineCommand) => Promise<boolean>;
}

interface PendingCrash {
  readonly evidence: CrashEvidence;
  readonly incident: number;
  readonly settle: (isRecorded: boolean) => void;
}

export class QuarantineKeeper {
  private readonly trials = createTrials();
  private readonly solos = createSolos();
  private readonly incidents = createIncidentLog();
  private nextIncident = 1;
  private pending: PendingCrash[] = [];
  /** Resolves when the crashes reported so far are recorded, or failed to be. */
  private recorded: Promise<void> = Promise.resolve();
  private quarantined = new Set<Fingerprint>();
  private isDropping = false;
  private readonly clearing = new Set<Fingerprint>();

  constructor(private readonly options: QuarantineKeeperOptions) {}

  /** Follows a changed table and logs what changed. */
  follow(view: QuarantineView): void {
    followQuarantine(this.trials, view.quarantined, this.options.nowMs());
    const next = new Set(view.quarantined.map(row => row.fingerprint));
    const {logger} = this.options;
    for (const fingerprint of next) {
      if (this.quarantined.has(fingerprint)) continue;
      logger.warn('quarantined', {fingerprint, version: view.version});
    }
    for (const fingerprint of this.quarantined) {
      if (next.has(fingerprint)) continue;
      logger.info('released', {fingerprint, version: view.version});
    }
    this.quarantined = next;
  }

  /** Resolves with whether the crash is recorded durably. */
  recordCrash({crash: reported, ageMs}: CrashMessage): Promise<boolean> {
    if (!this.options.isLeader()) return Promise.resolve(false);
    const crashedAtMs = this.options.nowMs() - ageMs;
    const incident = this.incidentOf(reported, crashedAtMs);
    const {incidents} = this;
    const crash = nameCrash(incidents, reported.crash, crashedAtMs, incident);
    const evidence = {...reported, crash};
    return new Promise(settle => {
      if (this.pending.length === 0) {
        const gathered = delay(GATHER_CRASHES_MS);
        this.recorded = Promise.all([this.recorded, gathered])
          .then(() => this.submitCrashes())
          .catch((error: unknown) => this.logNotRecorded(error));
      }
      this.pending.push({evidence, incident, settle});
    });
  }

  private logNotRecorded(error: unknown): void {
    this.options.logger.error('crashes_not_recorded', {reason: String(error)});
  }

  private incidentOf(evidence: CrashEvidence, crashedAtMs: number): number {
    const known = this.options.table()?.nextIncident ?? 1;
    const next = Math.max(known, this.nextIncident);
    const incident = evidence.wasAlone
      ? next
      : assignIncident(this.incidents, crashedAtMs, next);
    this.nextIncident = Math.max(next, incident + 1);
    return incident;
  }

  /** Clears suspects that a target answered. */
  clear(fingerprints: readonly Fingerprint[]): void {
    this.endRun(fingerprints);
    const table = this.options.table();
    if (table === undefined || !this.options.isLeader()) return;
    const {suspects, quarantined} = viewOf(table);
    const known = new Set([
      ...suspects,
      ...quarantined.map(row => row.fingerprint),
    ]);
    const cleared = fingerprints.filter(
      item => known.has(item) && !this.clearing.has(item),
    );
    if (cleared.length === 0) return;
    for (const item of cleared) this.clearing.add(item);
    void this.options
      .submit({kind: 'clear_suspects', fingerprints: cleared})
      .finally(() => cleared.forEach(item => this.clearing.delete(item)));
  }

  /** Decides right before an entry sends a request with known suspects. */
  async admit(request: SuspectRequest): Promise<Admission> {
    await this.recorded;
    const table = this.options.table();
    if (table === undefined || !this.options.isLeader())
      return {kind: 'busy', retryAfterMs: UNKNOWN_RETRY_MS};
    const known = findKnown(request, viewOf(table));
    const {trials, solos} = this;
    const nowMs = this.options.nowMs();
    const admission = admit({trials, solos}, request, known, nowMs);
    if (admission.kind !== 'clear') this.logAdmission(request, admission);
    return admission;
  }

  /** Takes back the crash of a target that only was silent. */
  retract(start: TargetStart): void {
    const crash = crashIdOf(start);
    const isCertain = this.options.table()?.crashes.get(crash)?.isCertain;
    if (isCertain !== false || !this.options.isLeader()) return;
    this.options.logger.info('crash_retracted', {crash});
    void this.options.submit({kind: 'retract_crash', crash});
  }

  /** A trial or a solo run ended and tells nothing. */
  endRun(fingerprints: readonly Fingerprint[]): void {
    endSolos(this.solos, fingerprints);
  }

  private logAdmission({service}: SuspectRequest, admission: Admission): void {
    this.options.logger.info('suspect_admission', {
      service,
      outcome: admission.kind,
      suspects: 'suspects' in admission ? admission.suspects.join(',') : '',
      retry_after_ms:
        'retryAfterMs' in admission
          ? Math.round(admission.retryAfterMs)
          : undefined,
    });
  }

  /** Drops what has not changed for long. */
  tick(): void {
    const table = this.options.table();
    if (table === undefined || !this.options.isLeader()) return;
    const stale = findStale(table, this.options.nowMs(), RETENTION_MS);
    if (stale === undefined || this.isDropping) return;
    this.isDropping = true;
    void this.options
      .submit({kind: 'drop_suspects', ...stale})
      .finally(() => (this.isDropping = false));
  }

  private async submitCrashes(): Promise<void> {
    const {pending} = this;
    this.pending = [];
    const incidents = new Set(pending.map(item => item.incident));
    for (const incident of incidents) {
      const crashes = pending.filter(item => item.incident === incident);
      await this.submitIncident(incident, crashes);
    }
  }

  private async submitIncident(
    incident: number,
    reports: readonly PendingCrash[],
  ): Promise<void> {
    const crashes = reports.map(item => item.evidence);
    const isRecorded = await this.options.submit({
      kind: 'record_crashes',
      crashes,
      incident,
    });
    for (const {crash, suspects, failedTrials, wasAlone} of crashes) {
      const fingerprints = suspects.map(item => item.fingerprint);
      this.endRun([...fingerprints, ...failedTrials]);
      this.options.logger.warn('crash', {
        crash,
        incident,
        suspects: fingerprints.join(','),
        healthy: suspects.filter(item => item.wasHealthy).length,
        alone: wasAlone,
        recorded: isRecorded,
      });
    }
    for (const {settle} of reports) settle(isRecorded);
  }
}
