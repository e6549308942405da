/**
 * Leaves the control group before a planned stop: hands the leadership on and
 * asks the leader to give this daemon's vote to another one.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from '@samphirefield/core';
import type {Peer} from '../link/index.js';
import type {GroupReplica} from './group-replica.js';
import type {LeaveOutcome, LeaveRequest} from './messages.js';

const LEAVE_RETRY_MS = 30;

export interface LeavingOptions {
  /** Undefined while the storage of the replica is not open. */
  readonly group: () => GroupReplica | undefined;
  readonly leaderPeer: () => Peer | undefined;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** Resolves early if no daemon can take the vote. */
export async function leaveGroup(
  options: LeavingOptions,
  timeoutMs: number,
): Promise<void> {
  const {logger, nowMs, group} = options;
  const untilMs = nowMs() + timeoutMs;
  let outcome: LeaveOutcome = 'not_leader';
  while (outcome === 'not_leader' && nowMs() < untilMs) {
    const replica = group();
    if (replica === undefined) return;
    outcome = await requestLeave(options, replica, untilMs - nowMs());
    if (outcome === 'not_leader') await delay(LEAVE_RETRY_MS);
  }
  logger.info('left_group', {outcome});
}

async function requestLeave(
  {leaderPeer}: LeavingOptions,
  group: GroupReplica,
  timeoutMs: number,
): Promise<LeaveOutcome> {
  if (group.isLeader) {
    if (group.voterCount === 1) return 'kept';
    await group.transferLeadership();
    return 'not_leader';
  }
  const request: LeaveRequest = {replica: group.node.id};
  try {
    const leader = leaderPeer();
    if (leader === undefined) return 'not_leader';
    return await leader.request<LeaveOutcome>('leave', request, timeoutMs);
  } catch {
    return 'not_leader';
  }
}
