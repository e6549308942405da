/**
 * Tracks whether a control daemon is in contact with a majority of its group.
 * An isolated daemon must not acknowledge announcements that only the others
 * could pass on.
 */
import type {Logger} from '@samphirefield/core';
import {formatAddress, type Address, type LinkSet} from '../link/index.js';

/** A member that sent nothing for this long may be cut off. */
const UNREACHABLE_AFTER_MS = 1_100;

export interface QuorumContactOptions {
  readonly self: Address;
  readonly links: LinkSet;
  readonly logger: Logger;
}

export class QuorumContact {
  /** Members reported by other daemons; used while this one is not a member. */
  private reportedMembers: readonly Address[] = [];
  private hadContact = false;

  constructor(private readonly options: QuorumContactOptions) {}

  /** Result of the last check. */
  get hasContact(): boolean {
    return this.hadContact;
  }

  /** Records the members that another daemon reported. */
  noteReportedMembers(members: readonly Address[]): void {
    if (members.length > 0) this.reportedMembers = members;
  }

  /** Returns whether a majority is in contact; logs when that changes. */
  check(ownMembers: readonly Address[]): boolean {
    const members = ownMembers.length > 0 ? ownMembers : this.reportedMembers;
    const reachableCount = members.filter(member =>
      this.isReachable(member),
    ).length;
    const hasContact = reachableCount > members.length / 2;
    if (hasContact !== this.hadContact) {
      const event = hasContact ? 'contact_regained' : 'isolated';
      this.options.logger.warn(event, {
        members: members.length,
        heard: reachableCount,
      });
    }
    this.hadContact = hasContact;
    return hasContact;
  }

  private isReachable(member: Address): boolean {
    const {self, links} = this.options;
    if (formatAddress(member) === formatAddress(self)) return true;
    const peer = links.peerAt(member);
    return peer !== undefined && peer.silentMs <= UNREACHABLE_AFTER_MS;
  }
}
