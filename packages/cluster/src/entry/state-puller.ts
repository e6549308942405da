/**
 * Pulls the state of the control group from a daemon that has a newer one. While
 * a daemon does not respond, another one is asked as well; whichever response
 * comes first counts, also when it comes late.
 */
import type {Logger} from '@samphirefield/core';
import type {PullRequest, StateUpdate} from '../control/index.js';
import type {Peer} from '../link/index.js';

/** A link that goes silent is closed much earlier. */
const PULL_TIMEOUT_MS = 10_000;
/** A daemon on a silent link is taken for one that hangs after this time. */
const SILENT_AFTER_MS = 300;
/** Time after which another daemon is asked in any case. */
const SLOW_AFTER_MS = 1_500;
const MAX_OPEN_PULLS = 2;
/** Pause before a daemon is asked again that could not help. */
const RETRY_AFTER_MS = 200;
const CHECK_EVERY_MS = 100;

/** A connected control daemon and the index of the state that it reported. */
export interface StateSource {
  readonly peer: Peer;
  readonly index: number;
}

export interface StatePullerOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** The index of the state that this entry has. */
  readonly index: () => number;
  readonly sources: () => readonly StateSource[];
  readonly request: () => PullRequest;
  /** Returns whether the state could be used. */
  readonly apply: (state: StateUpdate, askedAtMs: number) => Promise<boolean>;
}

export class StatePuller {
  /** Daemons that were asked and have not responded, and when. */
  private readonly asked = new Map<Peer, number>();
  private readonly retryAtMs = new WeakMap<Peer, number>();
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: StatePullerOptions) {}

  /** Asks a daemon if one has a newer state and no other one is being asked. */
  check(): void {
    if (this.isStopped) return;
    const newer = this.newerSources();
    if (newer.length === 0) return;
    const source = this.isPullDue() ? this.choose(newer) : undefined;
    if (source) void this.pull(source.peer);
    this.checkLater();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private newerSources(): readonly StateSource[] {
    const {index, sources} = this.options;
    const known = index();
    return sources().filter(source => source.index > known);
  }

  private checkLater(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.check();
    }, CHECK_EVERY_MS);
  }

  private isPullDue(): boolean {
    if (this.asked.size >= MAX_OPEN_PULLS) return false;
    return [...this.asked].every(([peer, askedAtMs]) => {
      const waitedMs = this.options.nowMs() - askedAtMs;
      const isSilent = Math.min(waitedMs, peer.silentMs) > SILENT_AFTER_MS;
      return isSilent || waitedMs > SLOW_AFTER_MS;
    });
  }

  /** The newest that may be asked; the first of those that are equally new. */
  private choose(sources: readonly StateSource[]): StateSource | undefined {
    const nowMs = this.options.nowMs();
    let newest: StateSource | undefined;
    for (const source of sources) {
      const {peer, index} = source;
      const isResting = (this.retryAtMs.get(peer) ?? 0) > nowMs;
      if (isResting || this.asked.has(peer)) continue;
      if (index > (newest?.index ?? 0)) newest = source;
    }
    return newest;
  }

  private async pull(peer: Peer): Promise<void> {
    const {nowMs, logger} = this.options;
    const askedAtMs = nowMs();
    this.asked.set(peer, askedAtMs);
    let hasHelped = false;
    try {
      const state = await peer.request<StateUpdate | undefined>(
        'pull_state',
        this.options.request(),
        PULL_TIMEOUT_MS,
      );
      if (state) hasHelped = await this.options.apply(state, askedAtMs);
    } catch (error) {
      logger.warn('pull_failed', {reason: String(error)});
    }
    this.asked.delete(peer);
    if (!hasHelped) this.retryAtMs.set(peer, nowMs() + RETRY_AFTER_MS);
    this.check();
  }
}
