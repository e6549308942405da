/** The kept connections to targets, by address. */
import {UpstreamConnection, type ConnectionEvents} from './connection.js';
import type {UpstreamAddress} from './types.js';

const SWEEP_EVERY_MS = 500;

interface Place {
  idle: UpstreamConnection[];
  open: number;
}

export class UpstreamPool {
  private readonly places = new Map<string, Place>();
  private readonly sweeper: NodeJS.Timeout;

  constructor() {
    this.sweeper = setInterval(() => this.sweep(), SWEEP_EVERY_MS);
    this.sweeper.unref();
  }

  /** A kept connection if there is one, else a new one; undefined: neither. */
  async acquire(
    address: UpstreamAddress,
    timeoutMs: number,
  ): Promise<UpstreamConnection | undefined> {
    const place = this.placeOf(address);
    const nowMs = performance.now();
    for (;;) {
      const connection = place.idle.pop();
      if (connection === undefined) break;
      if (!connection.isClosed && nowMs < connection.idleUntilMs) {
        return connection;
      }
      connection.destroy();
    }
    const events: ConnectionEvents = {
      onIdle: idle => place.idle.push(idle),
      onClosed: closed => {
        place.open -= 1;
        const position = place.idle.indexOf(closed);
        if (position >= 0) place.idle.splice(position, 1);
      },
    };
    place.open += 1;
    const connection = await UpstreamConnection.open(
      address,
      timeoutMs,
      events,
    );
    if (connection === undefined) place.open -= 1;
    return connection;
  }

  /** Closes the idle connections to an address whose target has gone. */
  closeIdle(address: UpstreamAddress): void {
    const place = this.places.get(`${address.host}:${address.port}`);
    for (const connection of [...(place?.idle ?? [])]) connection.destroy();
  }

  close(): void {
    clearInterval(this.sweeper);
    for (const place of this.places.values()) {
      for (const connection of [...place.idle]) connection.destroy();
    }
  }

  private placeOf(address: UpstreamAddress): Place {
    const key = `${address.host}:${address.port}`;
    const known = this.places.get(key);
    if (known) return known;
    const place: Place = {idle: [], open: 0};
    this.places.set(key, place);
    return place;
  }

  private sweep(): void {
    const nowMs = performance.now();
    for (const [key, place] of this.places) {
      const expired = place.idle.filter(item => nowMs >= item.idleUntilMs);
      for (const connection of expired) connection.destroy();
      if (place.open === 0) this.places.delete(key);
    }
  }
}
