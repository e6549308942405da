/**
 * Follows the configuration of the control group: pulls each newer state and
 * builds from it what this entry obeys. It never goes back to an older one.
 */
import type {Logger} from '@samphirefield/core';
import type {ActiveConfig} from '@samphirefield/gateway';
import type {ConfigDecoder} from '../config-decoder.js';
import type {PullRequest, StateUpdate} from '../control/index.js';
import {NO_VERSION} from '../documents/index.js';
import {
  nextConfig,
  sizeOf,
  type ConfigError,
  type EntryConfig,
} from './entry-config.js';
import {StatePuller, type StateSource} from './state-puller.js';

/**
 * A starting entry that no leader can tell the newest state takes the newest that
 * a control daemon has after this time.
 */
const UNCONFIRMED_AFTER_MS = 5_000;

export interface ConfigFollowerOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly decodeConfig: ConfigDecoder;
  readonly sources: () => readonly StateSource[];
  /** Called with each newer state once its configuration is in force. */
  readonly onState: (
    state: StateUpdate,
    active: ActiveConfig,
    hasNewTable: boolean,
  ) => void;
}

export class ConfigFollower {
  private current: EntryConfig | undefined;
  private readonly puller: StatePuller;
  private firstPullAtMs: number | undefined;
  /** Whether deltas could not be applied, so that a whole document is due. */
  private needsWholeDocument = false;
  /** Index of the newest state whose whole document cannot be read. */
  private unreadableIndex = 0;

  constructor(private readonly options: ConfigFollowerOptions) {
    this.puller = new StatePuller({
      ...options,
      index: () => Math.max(this.index, this.unreadableIndex),
      request: () => this.nextRequest(),
      apply: (state, askedAtMs) => this.apply(state, askedAtMs),
    });
  }

  /** Undefined before the first configuration. */
  get active(): ActiveConfig | undefined {
    return this.current?.active;
  }

  /** Index of the state that is in force; 0 before the first. */
  get index(): number {
    return this.active?.view.index ?? 0;
  }

  /** Pulls the state if a control daemon has a newer one. */
  check(): void {
    this.puller.check();
  }

  stop(): void {
    this.puller.stop();
  }

  private nextRequest(): PullRequest {
    const nowMs = this.options.nowMs();
    this.firstPullAtMs ??= nowMs;
    const isFirst = this.current === undefined;
    const isLate = nowMs - this.firstPullAtMs >= UNCONFIRMED_AFTER_MS;
    const version = this.current?.document.version ?? NO_VERSION;
    return {
      knownVersion: this.needsWholeDocument ? NO_VERSION : version,
      acceptsUpdates: true,
      mustBeNewest: isFirst && !isLate,
    };
  }

  /** Returns whether the state could be used, or is not needed any more. */
  private async apply(state: StateUpdate, askedAtMs: number): Promise<boolean> {
    const {decodeConfig, nowMs, onState} = this.options;
    const receivedAtMs = nowMs();
    const next = await nextConfig(state, () => this.current, decodeConfig);
    if (state.index <= this.index) return true;
    if (next.isErr()) return this.onUnusable(next.error, state);
    const {config, hasNewTable} = next.value;
    this.current = config;
    if (hasNewTable) this.needsWholeDocument = false;
    onState(state, config.active, hasNewTable);
    this.log(state, config.active, {
      pull_ms: Math.round(receivedAtMs - askedAtMs),
      apply_ms: Math.round(nowMs() - receivedAtMs),
    });
    return true;
  }

  private log(
    state: StateUpdate,
    {view}: ActiveConfig,
    times: Readonly<Record<string, number>>,
  ): void {
    this.options.logger.info('config_in_force', {
      index: view.index,
      version: view.table.version,
      routes: view.table.routes.length,
      zones_out: [...view.zonesOut].join(','),
      ...times,
      from_version: state.update?.baseVersion,
      chars: sizeOf(state),
    });
  }

  /** Returns whether another state may be usable at once. */
  private onUnusable(error: ConfigError, state: StateUpdate): boolean {
    if (error === 'other_base') return true;
    if (error === 'none') return false;
    const {version, index, update} = state;
    const isWhole = (update?.baseVersion ?? NO_VERSION) === NO_VERSION;
    if (isWhole) this.unreadableIndex = index;
    this.needsWholeDocument = true;
    this.options.logger.error('config_unreadable', {version, whole: isWhole});
    return false;
  }
}
