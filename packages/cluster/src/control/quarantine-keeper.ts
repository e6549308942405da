/**
 * The leader's part of the quarantine: gathers the crashes that entries report,
 * replicates them, and permits one trial of a quarantined suspect at a time.
 * Every control daemon follows the table, so a new leader knows the delays.
 */
import type {Fingerprint, Logger} from '@samphirefield/core';
import {
  beginTrial,
  createTrials,
  findStale,
  followQuarantine,
  groupIncidents,
  INCIDENT_MS,
  msUntilTrial,
  viewOf,
  type CrashEvidence,
  type QuarantineTable,
  type QuarantineView,
} from '@samphirefield/policy/quarantine';
import type {CrashMessage} from './messages.js';
import type {QuarantineCommand} from './state-machine.js';

/** Entries report a crash within this time. */
const GATHER_CRASHES_MS = INCIDENT_MS;
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
  readonly crashedAtMs: number;
  readonly settle: (isRecorded: boolean) => void;
}

export class QuarantineKeeper {
  private readonly trials = createTrials();
  private pending: PendingCrash[] = [];
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
  recordCrash({crash: evidence, ageMs}: CrashMessage): Promise<boolean> {
    const crashedAtMs = this.options.nowMs() - ageMs;
    if (!this.options.isLeader()) return Promise.resolve(false);
    return new Promise(settle => {
      if (this.pending.length === 0) {
        setTimeout(() => void this.submitCrashes(), GATHER_CRASHES_MS);
      }
      this.pending.push({evidence, crashedAtMs, settle});
    });
  }

  /** Clears suspects that a target answered. */
  clear(fingerprints: readonly Fingerprint[]): void {
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

  /** Begins a trial of all these suspects if each may be tried now. */
  mayTry(fingerprints: readonly Fingerprint[]): boolean {
    if (!this.options.isLeader()) return false;
    const nowMs = this.options.nowMs();
    const isDue = fingerprints.every(
      item => msUntilTrial(this.trials, item, nowMs) === 0,
    );
    if (!isDue) return false;
    for (const item of fingerprints) beginTrial(this.trials, item, nowMs);
    this.options.logger.info('trial', {suspects: fingerprints.join(',')});
    return true;
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
    const incidents = groupIncidents(this.pending);
    this.pending = [];
    for (const incident of incidents) await this.submitIncident(incident);
  }

  private async submitIncident(incident: PendingCrash[]): Promise<void> {
    const crashes = incident.map(item => item.evidence);
    const isRecorded = await this.options.submit({
      kind: 'record_crashes',
      crashes,
    });
    for (const {crash, suspects} of crashes) {
      this.options.logger.warn('crash', {
        crash,
        incident: this.options.table()?.crashes.get(crash)?.incident,
        suspects: suspects.map(item => item.fingerprint).join(','),
        healthy: suspects.filter(item => item.wasHealthy).length,
        recorded: isRecorded,
      });
    }
    for (const {settle} of incident) settle(isRecorded);
  }
}
