/**
 * Whether a control daemon hears a majority of its group. One that is isolated
 * must not acknowledge what only the others could pass on.
 */
import type {Logger} from '@samphirefield/core';
import {formatAddress, type Address, type LinkSet} from '../link/index.js';

/** A member that was not heard for this long may be cut off. */
const ISOLATED_AFTER_MS = 1_100;

export interface QuorumContactOptions {
  readonly self: Address;
  readonly links: LinkSet;
  readonly logger: Logger;
}

export class QuorumContact {
  /** The group as others tell of it, for a daemon that is not in it. */
  private toldMembers: readonly Address[] = [];
  private hadContact = false;

  constructor(private readonly options: QuorumContactOptions) {}

  /** What the last check found. */
  get hasContact(): boolean {
    return this.hadContact;
  }

  /** Takes the members that another daemon names. */
  noteReportedMembers(members: readonly Address[]): void {
    if (members.length > 0) this.toldMembers = members;
  }

  /** Logs when the answer changes. */
  check(ownMembers: readonly Address[]): boolean {
    const members = ownMembers.length > 0 ? ownMembers : this.toldMembers;
    const heard = members.filter(member => this.hears(member)).length;
    const hasContact = heard > members.length / 2;
    if (hasContact !== this.hadContact) {
      const event = hasContact ? 'contact_regained' : 'isolated';
      this.options.logger.warn(event, {members: members.length, heard});
    }
    this.hadContact = hasContact;
    return hasContact;
  }

  private hears(member: Address): boolean {
    const {self, links} = this.options;
    if (formatAddress(member) === formatAddress(self)) return true;
    const peer = links.peerAt(member);
    return peer !== undefined && peer.silentMs <= ISOLATED_AFTER_MS;
  }
}
