/** The control daemons that this one knows: their zones, and links to them. */
import type {ZoneId} from '@samphirefield/core';
import {formatAddress, type Address, type LinkSet} from '../link/index.js';

export interface ControlDirectoryOptions {
  readonly self: Address;
  readonly selfZone: ZoneId;
  readonly links: () => LinkSet;
}

export class ControlDirectory {
  /** By address; of this daemon too. */
  private readonly zones = new Map<string, ZoneId>();

  constructor(private readonly options: ControlDirectoryOptions) {
    this.noteZone(options.self, options.selfZone);
  }

  /** Undefined for a daemon that has not told its zone yet. */
  zoneOf(address: string): ZoneId | undefined {
    return this.zones.get(address);
  }

  /** Call when a control daemon tells its address and zone. */
  note(address: Address, zone: ZoneId): void {
    this.noteZone(address, zone);
    this.linkTo([address]);
  }

  /** Keeps links to these daemons from now on. */
  linkTo(addresses: readonly Address[]): void {
    const {self, links} = this.options;
    const selfText = formatAddress(self);
    for (const address of addresses) {
      if (formatAddress(address) !== selfText) links().add(address);
    }
  }

  private noteZone(address: Address, zone: ZoneId): void {
    this.zones.set(formatAddress(address), zone);
  }
}
