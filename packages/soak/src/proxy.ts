/**
 * A TCP link from one daemon to one address, which can be cut and healed. A
 * silent link holds all bytes and ends of connections until it heals. It would
 * hold new connections too, so it says when they are not to be made. A link that
 * is reset refuses new connections, and resets those that it keeps with the next
 * bytes on them.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {findFreePort} from '@samphirefield/core/testing';
import {onTrueEnd} from './true-end.js';
import type {CutKind} from './schedule.js';
import type {Address} from './types.js';

const HOST = '127.0.0.1';

interface Pair {
  readonly caller: Socket;
  readonly target: Socket;
  isHeld: boolean;
  /** Whether it is reset with the next bytes. */
  isDead: boolean;
}

/** Called when the link with this port falls silent or no longer is. */
export type SilenceListener = (port: number, isSilent: boolean) => void;

export class Link {
  private readonly pairs = new Set<Pair>();
  private readonly waiting = new Set<Socket>();
  private server: Server | undefined;
  /** The cuts in force; they may overlap. */
  private cuts: readonly CutKind[] = [];
  private isClosed = false;

  private constructor(
    readonly port: number,
    private readonly to: Address,
    private readonly onSilent: SilenceListener,
  ) {}

  static async open(
    to: Address,
    onSilent: SilenceListener = () => undefined,
  ): Promise<Link> {
    const link = new Link(await findFreePort(HOST), to, onSilent);
    await link.listen();
    return link;
  }

  cut(how: CutKind, keepsLive: boolean): void {
    if (this.isClosed) return;
    this.cuts = [...this.cuts, how];
    if (how === 'silent') this.onSilent(this.port, true);
    else this.refuse();
    for (const pair of this.pairs) {
      if (keepsLive) pair.isDead ||= how === 'reset';
      else if (how === 'silent') this.hold(pair);
      else this.reset(pair);
    }
  }

  private refuse(): void {
    this.server?.close();
    this.server = undefined;
  }

  /** Ends one cut of this kind. */
  async heal(how: CutKind): Promise<void> {
    if (this.isClosed) return;
    const position = this.cuts.indexOf(how);
    this.cuts = this.cuts.filter((_, i) => i !== position);
    if (!this.cuts.includes('silent')) this.onSilent(this.port, false);
    if (this.cuts.length > 0) return;
    if (this.server === undefined) await this.listen();
    for (const pair of this.pairs) {
      pair.isHeld = false;
      pair.isDead = false;
      pair.caller.resume();
      pair.target.resume();
    }
    for (const caller of this.waiting) this.forward(caller);
    this.waiting.clear();
  }

  close(): void {
    this.isClosed = true;
    this.server?.close();
    for (const pair of this.pairs) this.reset(pair);
    for (const caller of this.waiting) caller.destroy();
  }

  private listen(): Promise<void> {
    const server = createServer(
      {allowHalfOpen: true, pauseOnConnect: true},
      caller => this.accept(caller),
    );
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, HOST, resolve);
    });
  }

  private accept(caller: Socket): void {
    caller.on('error', () => undefined);
    if (this.cuts.length > 0) this.waiting.add(caller);
    else this.forward(caller);
  }

  private forward(caller: Socket): void {
    const target = connect({...this.to, allowHalfOpen: true});
    const pair = {caller, target, isHeld: false, isDead: false};
    this.pairs.add(pair);
    this.pump(pair, caller, target);
    this.pump(pair, target, caller);
  }

  private pump(pair: Pair, from: Socket, to: Socket): void {
    from.on('data', chunk => {
      if (pair.isDead) this.reset(pair);
      else if (!to.write(chunk)) from.pause();
    });
    to.on('drain', () => {
      if (!pair.isHeld) from.resume();
    });
    from.on('end', () => onTrueEnd(from, () => to.end()));
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      if (pair.caller.destroyed && pair.target.destroyed)
        this.pairs.delete(pair);
    });
    from.resume();
  }

  private hold(pair: Pair): void {
    pair.isHeld = true;
    pair.caller.pause();
    pair.target.pause();
  }

  private reset({caller, target}: Pair): void {
    caller.resetAndDestroy();
    target.resetAndDestroy();
  }
}
