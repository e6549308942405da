/**
 * The replicated state of the control group: the configuration document with
 * the highest version, stored as received, and the availability zones that are
 * out of service.
 */
import {zoneId, type ZoneId} from '@samphirefield/core';
import type {StateMachine} from '@samphirefield/replication';

export type ClusterCommand =
  | {
      readonly kind: 'put_config';
      readonly version: number;
      readonly document: string;
    }
  | {readonly kind: 'set_zone'; readonly zone: ZoneId; readonly isOut: boolean};

export type ClusterResult =
  | {readonly kind: 'changed'}
  /**
   * The state has this version or a higher one, or the zone is as requested.
   */
  | {readonly kind: 'unchanged'};

export interface ClusterState {
  /** Index of the last log entry that changed the state. */
  readonly index: number;
  /** Version of the configuration; 0 if none was accepted yet. */
  readonly version: number;
  readonly document: string;
  readonly zonesOut: readonly ZoneId[];
}

const INITIAL_STATE: ClusterState = {
  index: 0,
  version: 0,
  document: '',
  zonesOut: [],
};

function applyCommand(
  state: ClusterState,
  command: ClusterCommand,
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

export class ClusterStateMachine implements StateMachine<ClusterResult> {
  state: ClusterState = INITIAL_STATE;

  constructor(private readonly onChange: (state: ClusterState) => void) {}

  apply(data: string, index: number): ClusterResult {
    const command = JSON.parse(data) as ClusterCommand;
    const next = applyCommand(this.state, command, index);
    if (next === this.state) return {kind: 'unchanged'};
    this.state = next;
    this.onChange(next);
    return {kind: 'changed'};
  }

  snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.state));
  }

  restore(data: Uint8Array): void {
    this.state = JSON.parse(Buffer.from(data).toString()) as ClusterState;
    this.onChange(this.state);
  }
}
