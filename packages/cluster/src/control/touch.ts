/**
 * Whether a control daemon hears most of its group. One that does not must not
 * acknowledge what only the others could pass on.
 */
import type {Logger} from '@samphirefield/core';
import {formatAddress, type Address, type LinkSet} from '../link/index.js';

/** A control daemon that was not heard for this long may be cut off. */
const OUT_OF_TOUCH_MS = 1_100;

export interface TouchOptions {
  readonly self: Address;
  readonly links: LinkSet;
  readonly logger: Logger;
}

export class Touch {
  /** The group as others tell of it, for a daemon that is not in it. */
  private toldMembers: readonly Address[] = [];
  private wasInTouch = false;

  constructor(private readonly options: TouchOptions) {}

  /** What the last check found. */
  get isInTouch(): boolean {
    return this.wasInTouch;
  }

  /** Takes the members that another daemon names. */
  noteTold(members: readonly Address[]): void {
    if (members.length > 0) this.toldMembers = members;
  }

  /** Logs when the answer changes. */
  check(ownMembers: readonly Address[]): boolean {
    const members = ownMembers.length > 0 ? ownMembers : this.toldMembers;
    const heard = members.filter(member => this.hears(member)).length;
    const isInTouch = heard > members.length / 2;
    if (isInTouch !== this.wasInTouch) {
      const event = isInTouch ? 'in_touch' : 'out_of_touch';
      this.options.logger.warn(event, {members: members.length, heard});
    }
    this.wasInTouch = isInTouch;
    return isInTouch;
  }

  private hears(member: Address): boolean {
    const {self, links} = this.options;
    if (formatAddress(member) === formatAddress(self)) return true;
    const peer = links.peerAt(member);
    return peer !== undefined && peer.silentMs <= OUT_OF_TOUCH_MS;
  }
}
