/**
 * The replicated state of the control group: the configuration document with
 * the highest version, stored as received, the availability zones that are out
 * of service, the rollouts, and the quarantine of what crashes targets.
 */
import {zoneId, type Fingerprint, type ZoneId} from '@samphirefield/core';
import {
  createQuarantine,
  recordCrashes,
  recordSuccess,
  removeSuspects,
  restoreQuarantine,
  retractCrash,
  SHARED_TARGET_THRESHOLDS,
  toQuarantineSnapshot,
  type CrashEvidence,
  type CrashId,
  type QuarantineSnapshot,
  type QuarantineTable,
  type StaleSuspects,
} from '@samphirefield/policy/quarantine';
import type {StateMachine} from '@samphirefield/replication';
import {
  applyRolloutCommand,
  type Rollout,
  type RolloutCommand,
  type RolloutOutcome,
} from './rollout-state.js';

export type ConfigCommand =
  | {
      readonly kind: 'put_config';
      readonly version: number;
      readonly document: string;
    }
  | {readonly kind: 'set_zone'; readonly zone: ZoneId; readonly isOut: boolean};

export type QuarantineCommand =
  /** Crashes of one incident; undefined in entries of earlier versions. */
  | {
      readonly kind: 'record_crashes';
      readonly crashes: readonly CrashEvidence[];
      readonly incident?: number;
    }
  /** A target answered requests with these suspects. */
  | {
      readonly kind: 'clear_suspects';
      readonly fingerprints: readonly Fingerprint[];
    }
  | ({readonly kind: 'drop_suspects'} & StaleSuspects)
  /** A target that was silent announced itself again. */
  | {readonly kind: 'retract_crash'; readonly crash: CrashId};

export type ClusterCommand = ConfigCommand | QuarantineCommand | RolloutCommand;

export type ClusterResult =
  | {readonly kind: 'changed'}
  /**
   * The state has this version or a higher one, or the zone is as requested.
   */
  | {readonly kind: 'unchanged'}
  /** Another rollout of the service is in progress. */
  | {readonly kind: 'conflict'};

export interface ClusterState {
  /** Index of the last log entry that changed the state. */
  readonly index: number;
  /** Version of the configuration; 0 if none was accepted yet. */
  readonly version: number;
  readonly document: string;
  readonly zonesOut: readonly ZoneId[];
  /** The newest rollout of each service that had one. */
  readonly rollouts: readonly Rollout[];
}

const INITIAL_STATE: ClusterState = {
  index: 0,
  version: 0,
  document: '',
  zonesOut: [],
  rollouts: [],
};

function applyCommand(
  state: ClusterState,
  command: ConfigCommand,
  index: number,
): ClusterState {
  switch (command.kind) {
    case 'put_config': {
      if (command.version <= state.version) return state;
      const {version, document} = command;
      return {...state, index, version, document};
    }
    case 'set_zone': {
      const zone = zoneId(command.zone);
      if (state.zonesOut.includes(zone) === command.isOut) return state;
      const others = state.zonesOut.filter(item => item !== zone);
      const zonesOut = command.isOut ? [...others, zone] : others;
      return {...state, index, zonesOut};
    }
  }
}

function applyToQuarantine(
  table: QuarantineTable,
  command: QuarantineCommand,
  nowMs: number,
): void {
  switch (command.kind) {
    case 'record_crashes':
      recordCrashes(table, command.crashes, nowMs, command.incident);
      break;
    case 'clear_suspects':
      for (const item of command.fingerprints) recordSuccess(table, item);
      break;
    case 'drop_suspects':
      removeSuspects(table, command.crashes, command.fingerprints);
      break;
    case 'retract_crash':
      retractCrash(table, command.crash);
      break;
  }
}

interface StateSnapshot extends Omit<ClusterState, 'rollouts'> {
  /** Both are missing in snapshots of earlier versions. */
  readonly quarantine?: QuarantineSnapshot;
  readonly rollouts?: readonly Rollout[];
}

type Change = 'changed' | 'unchanged';

export interface StateMachineOptions {
  readonly onChange: (state: ClusterState) => void;
  readonly onQuarantineChange: (table: QuarantineTable) => void;
  readonly nowMs: () => number;
}

export class ClusterStateMachine implements StateMachine<ClusterResult> {
  state: ClusterState = INITIAL_STATE;
  quarantine: QuarantineTable = createQuarantine();

  constructor(private readonly options: StateMachineOptions) {}

  apply(data: string, index: number): ClusterResult {
    const command = JSON.parse(data) as ClusterCommand;
    switch (command.kind) {
      case 'put_config':
      case 'set_zone':
        return {kind: this.applyConfig(command, index)};
      case 'start_rollout':
      case 'end_rollout':
        return {kind: this.applyRollout(command, index)};
      default:
        return {kind: this.applyQuarantine(command)};
    }
  }

  snapshot(): Uint8Array {
    const quarantine = toQuarantineSnapshot(this.quarantine);
    const snapshot: StateSnapshot = {...this.state, quarantine};
    return Buffer.from(JSON.stringify(snapshot));
  }

  restore(data: Uint8Array): void {
    const snapshot = JSON.parse(Buffer.from(data).toString()) as StateSnapshot;
    const {quarantine, rollouts = [], ...state} = snapshot;
    const {onChange, onQuarantineChange, nowMs} = this.options;
    this.state = {...state, rollouts};
    this.quarantine = quarantine
      ? restoreQuarantine(quarantine, SHARED_TARGET_THRESHOLDS, nowMs())
      : createQuarantine();
    onChange(this.state);
    onQuarantineChange(this.quarantine);
  }

  private applyConfig(command: ConfigCommand, index: number): Change {
    const next = applyCommand(this.state, command, index);
    if (next === this.state) return 'unchanged';
    this.setState(next);
    return 'changed';
  }

  private applyRollout(command: RolloutCommand, index: number): RolloutOutcome {
    const {state} = this;
    const {outcome, rollouts} = applyRolloutCommand(
      state.rollouts,
      command,
      index,
    );
    if (outcome === 'changed') this.setState({...state, index, rollouts});
    return outcome;
  }

  private setState(state: ClusterState): void {
    this.state = state;
    this.options.onChange(state);
  }

  private applyQuarantine(command: QuarantineCommand): Change {
    const {quarantine} = this;
    const {version} = quarantine;
    applyToQuarantine(quarantine, command, this.options.nowMs());
    if (quarantine.version === version) return 'unchanged';
    this.options.onQuarantineChange(quarantine);
    return 'changed';
  }
}
