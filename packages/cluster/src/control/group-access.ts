/**
 * Commands and reads of the control group from any control daemon: executed
 * here if this daemon leads, and forwarded to the leader otherwise.
 */
import type {Logger} from '@samphirefield/core';
import type {Peer} from '../link/index.js';
import type {GroupReplica, SubmitOutcome} from './group-replica.js';
import type {PullRequest, StateUpdate} from './messages.js';
import type {ClusterCommand, ClusterState} from './state-machine.js';

const FORWARD_TIMEOUT_MS = 3_000;
export const READ_TIMEOUT_MS = 800;

export interface GroupAccessOptions {
  /** Undefined while the storage of the replica is not open. */
  readonly group: () => GroupReplica | undefined;
  readonly leaderPeer: () => Peer | undefined;
  readonly logger: Logger;
}

export class GroupAccess {
  private reading: Promise<ClusterState | undefined> | undefined;
  private nextRead: Promise<ClusterState | undefined> | undefined;

  constructor(private readonly options: GroupAccessOptions) {}

  async submit(command: ClusterCommand): Promise<SubmitOutcome> {
    const group = this.options.group();
    if (group?.isLeader) return group.submit(command);
    return this.forward('submit', command);
  }

  /** Sends a command to the leader by the given method. */
  async forward(method: string, params: object): Promise<SubmitOutcome> {
    const peer = this.options.leaderPeer();
    if (peer === undefined) return {kind: 'not_leader'};
    try {
      return await peer.request<SubmitOutcome>(
        method,
        params,
        FORWARD_TIMEOUT_MS,
      );
    } catch (error) {
      return {kind: 'unknown', reason: String(error)};
    }
  }

  /**
   * Returns the newest accepted state; undefined if no reachable leader can
   * confirm it.
   */
  async readNewest(): Promise<ClusterState | undefined> {
    const {group, leaderPeer, logger} = this.options;
    const replica = group();
    if (replica?.isLeader) return replica.readNewest(READ_TIMEOUT_MS);
    const known = replica?.state;
    try {
      const newest = await leaderPeer()?.request<StateUpdate | undefined>(
        'read_newest',
        {knownVersion: known?.version ?? 0} satisfies PullRequest,
        READ_TIMEOUT_MS,
      );
      if (!newest) return undefined;
      return {...newest, document: newest.document ?? known?.document ?? ''};
    } catch (error) {
      logger.warn('read_failed', {reason: String(error)});
      return undefined;
    }
  }

  /**
   * The same as {@link readNewest}. Calls that come during a read share the next
   * one, as many entries may start at once.
   */
  readNewestShared(): Promise<ClusterState | undefined> {
    this.nextRead ??= Promise.resolve(this.reading).then(() => {
      this.nextRead = undefined;
      this.reading = this.readNewest();
      return this.reading;
    });
    return this.nextRead;
  }
}
