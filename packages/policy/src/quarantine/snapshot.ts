/**
 * The quarantine as JSON, for snapshots of a replicated state. Times are left
 * out, since each process has a clock of its own: rows count as updated when
 * they are restored.
 */
import type {
  CrashRow,
  CrashThresholds,
  QuarantineRow,
  QuarantineTable,
  Suspect,
} from './types.js';

export interface QuarantineSnapshot {
  readonly version: number;
  readonly nextIncident: number;
  readonly crashes: readonly CrashSnapshot[];
  readonly quarantined: ReadonlyArray<Omit<QuarantineRow, 'updatedAtMs'>>;
}

interface CrashSnapshot extends Pick<CrashRow, 'crash' | 'incident'> {
  /** Missing in snapshots of earlier versions, whose crashes are certain. */
  readonly isCertain?: boolean;
  readonly suspects: readonly Suspect[];
}

export function toQuarantineSnapshot(
  table: QuarantineTable,
): QuarantineSnapshot {
  return {
    version: table.version,
    nextIncident: table.nextIncident,
    crashes: [...table.crashes.values()].map(
      ({crash, incident, isCertain, suspects}) => ({
        crash,
        incident,
        isCertain,
        suspects: [...suspects.values()],
      }),
    ),
    quarantined: [...table.quarantined.values()].map(
      ({fingerprint, kind, failedTrials}) => ({
        fingerprint,
        kind,
        failedTrials,
      }),
    ),
  };
}

export function restoreQuarantine(
  snapshot: QuarantineSnapshot,
  thresholds: CrashThresholds,
  nowMs: number,
): QuarantineTable {
  const crashes = snapshot.crashes.map(row => ({
    crash: row.crash,
    incident: row.incident,
    isCertain: row.isCertain ?? true,
    suspects: new Map(row.suspects.map(item => [item.fingerprint, item])),
    updatedAtMs: nowMs,
  }));
  const quarantined = snapshot.quarantined.map(row => ({
    ...row,
    updatedAtMs: nowMs,
  }));
  return {
    thresholds,
    version: snapshot.version,
    nextIncident: snapshot.nextIncident,
    crashes: new Map(crashes.map(row => [row.crash, row])),
    quarantined: new Map(quarantined.map(row => [row.fingerprint, row])),
  };
}
