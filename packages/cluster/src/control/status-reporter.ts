/**
 * The status of the control group as one daemon knows it: what it reports to its
 * subscribers, and what other control daemons reported to it.
 */
import type {Logger} from '@samphirefield/core';
import {formatAddress, type Address} from '../link/index.js';
import type {GroupReplica} from './group-replica.js';
import type {GroupStatus} from './messages.js';
import type {Subscribers} from './subscribers.js';

const ENTRY_COUNT_EVERY_MS = 1_000;
/** Time in which entries have found a new leader. */
const ENTRIES_FIND_LEADER_MS = 5_000;

export interface StatusReporterOptions {
  readonly self: Address;
  readonly group: () => GroupReplica | undefined;
  readonly subscribers: Subscribers;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

export class StatusReporter {
  /** The newest status with a leader that another control daemon reported. */
  private reported: GroupStatus | undefined;
  private leadsSinceMs = 0;
  private sentText = '';
  private sentEntryCount = 0;
  private sentAtMs = 0;

  constructor(private readonly options: StatusReporterOptions) {}

  /** Records the status that another control daemon reported. */
  noteReported(status: GroupStatus): void {
    const {term, leader} = status;
    if (leader && term >= (this.reported?.term ?? 0)) this.reported = status;
  }

  /** Records that this daemon has begun to lead. */
  noteLeadership(): void {
    this.leadsSinceMs = this.options.nowMs();
  }

  /** The leader; a daemon outside the group knows only what others report. */
  get leader(): Address | undefined {
    return this.members.length > 0
      ? this.options.group()?.leader
      : this.reported?.leader;
  }

  /**
   * The members of the group of which this daemon is one; none if it is not. A
   * replica that was replaced while it was away does not learn of it from its
   * log, only from what others report.
   */
  get members(): readonly Address[] {
    const group = this.options.group();
    if (group === undefined) return [];
    const {reported} = this;
    if (reported === undefined || group.leader !== undefined)
      return group.members;
    const self = formatAddress(this.options.self);
    const isKept = reported.members.some(
      member => formatAddress(member) === self,
    );
    const isCurrent =
      reported.term >= group.term && reported.index >= group.state.index;
    return isCurrent && !isKept ? [] : group.members;
  }

  /**
   * A daemon outside the group passes on the members that others reported, so
   * that whoever knows only this daemon finds them. It names no leader, which
   * only a member is sure of.
   */
  current(): GroupStatus {
    const group = this.options.group();
    const {members} = this;
    const isMember = members.length > 0;
    return {
      term: group?.term ?? 0,
      leader: isMember ? group?.leader : undefined,
      members: isMember ? members : (this.reported?.members ?? []),
      index: group?.state.index ?? 0,
      entryCount: this.entryCount(),
    };
  }

  /** Sends the status if it changed; a change of the entry count may wait. */
  sendIfChanged(): void {
    const {subscribers, logger, nowMs} = this.options;
    const status = this.current();
    const {entryCount, ...urgent} = status;
    const text = JSON.stringify(urgent);
    const isCountDue =
      entryCount !== this.sentEntryCount &&
      nowMs() - this.sentAtMs >= ENTRY_COUNT_EVERY_MS;
    if (text === this.sentText && !isCountDue) return;
    logger.info('group_status', {
      term: status.term,
      leader: status.leader && formatAddress(status.leader),
      members: status.members.map(formatAddress).join(','),
      index: status.index,
      entries: entryCount,
    });
    this.sentText = text;
    this.sentEntryCount = entryCount;
    this.sentAtMs = nowMs();
    subscribers.sendStatus(status);
  }

  /**
   * The entries that the leader knows; 0 if unknown. A new leader reports at
   * least what the earlier one did until the entries have found it.
   */
  private entryCount(): number {
    const {group, subscribers, nowMs} = this.options;
    const reportedCount = this.reported?.entryCount ?? 0;
    if (!group()?.isLeader) return reportedCount;
    const isRecent = nowMs() - this.leadsSinceMs < ENTRIES_FIND_LEADER_MS;
    const {entryCount} = subscribers;
    return isRecent ? Math.max(entryCount, reportedCount) : entryCount;
  }
}
