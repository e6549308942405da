/**
 * Plays one seed: starts the processes, callers and targets, plays the faults of
 * the seed, heals everything, and judges what was seen.
 */
import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {findFreePort} from '@samphirefield/core/testing';
import {Callers} from './callers.js';
import {
  drawConfigChoice,
  ENGINE_SERVICE,
  PLAIN_SERVICES,
} from './config-choice.js';
import {countCutOffs, wasServed, type CutOffCount} from './cut-off.js';
import {findViolations, type Violation} from './checks.js';
import {FaultPlayer, type Wired} from './fault-player.js';
import {createControlCaller, Operator} from './operator.js';
import {Daemon, markSilence, type RoutedLink} from './processes.js';
import {Link, type SilenceListener} from './proxy.js';
import {
  createDraw,
  drawSchedule,
  drawUpgrades,
  type Draw,
  type PlannedFault,
  type SoakShape,
} from './schedule.js';
import {tellStory} from './story.js';
import {TargetFleet} from './targets.js';
import type {Address, SoakBounds, SoakDialect} from './types.js';

const ZONES = ['z-a', 'z-b', 'z-c'] as const;
const HEARTBEAT_MS = 1_200;
const MIN_TARGETS_PER_SERVICE = 3;
/** With more entries, probes of all at once would fill the targets. */
const ENTRIES_PER_TARGET = 8;
const READ_EVERY_MS = 400;
const READY_TIMEOUT_MS = 120_000;
/** Targets answer some calls with 500; of few calls this is all. */
const READY_PART = 0.9;
const PROBE_EVERY_MS = 500;

export interface SoakOptions {
  readonly dialect: SoakDialect;
  /** Path of the program from which the daemons are upgraded, if they are. */
  readonly earlierProgram?: string | undefined;
  readonly bounds: SoakBounds;
  readonly seed: number;
  readonly durationMs: number;
  readonly entries: number;
  readonly controls: number;
  readonly callers: number;
  readonly mayDenyStoppedRuns: boolean;
}

export interface SoakReport {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly faults: number;
  readonly calls: number;
  readonly served: number;
  readonly runs: number;
  readonly lastCopies: number;
  /** Calls at entries that reached no target, and meanwhile at others. */
  readonly cutOffs: readonly CutOffCount[];
  /** Where the logs are kept, if a promise was broken. */
  readonly folder: string | undefined;
  /** For people: the faults, the processes' last lines. */
  readonly story: string;
}

const openLinks = (
  ends: readonly Address[],
  onSilent?: SilenceListener,
): Promise<RoutedLink[]> =>
  Promise.all(
    ends.map(async to => ({to, link: await Link.open(to, onSilent)})),
  );

class Soak {
  private readonly ownEnds: string[] = [];
  private readonly pending: Array<Promise<void>> = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'samphirefield-soak-'));
  private readonly wired: Wired[] = [];
  private readonly draw: Draw;
  private operator!: Operator;
  private targets!: TargetFleet;
  private callers!: Callers;
  private player!: FaultPlayer;
  private isOver = false;
  private readonly startedAtMs = performance.now();

  constructor(private readonly options: SoakOptions) {
    this.draw = createDraw(options.seed + 1);
  }

  async play(): Promise<SoakReport> {
    // A soak that is interrupted leaves no process behind.
    const endAll = () => {
      for (const {daemon} of this.wired) void daemon.kill();
    };
    process.once('exit', endAll);
    try {
      await this.start();
      return await this.judge();
    } finally {
      process.off('exit', endAll);
      await this.close();
    }
  }

  private get daemons(): readonly Daemon[] {
    return this.wired.map(({daemon}) => daemon);
  }

  private async start(): Promise<void> {
    const {dialect, entries, controls, seed, bounds} = this.options;
    const onSilent = markSilence.bind(undefined, this.folder);
    const hosts = Array.from(
      {length: entries + controls},
      // Each soak has a loopback network of its own.
      (_, i) => `127.${20 + (process.pid % 200)}.0.${i + 1}`,
    );
    const ports = {
      callers: await findFreePort(hosts[0]!),
      control: await findFreePort(hosts[0]!),
      internal: await findFreePort(hosts[0]!),
    };
    const controlHosts = hosts.slice(entries);
    const addresses = controlHosts.map(host => ({host, port: ports.control}));
    const control = createControlCaller(addresses, createDraw(seed + 2));
    this.operator = new Operator(dialect, addresses, this.draw, control);
    this.targets = await TargetFleet.start({
      dialect,
      control,
      draw: createDraw(seed + 3),
      plainServices: PLAIN_SERVICES,
      engineService: ENGINE_SERVICE,
      perService: Math.max(
        MIN_TARGETS_PER_SERVICE,
        Math.ceil(entries / ENTRIES_PER_TARGET),
      ),
      zones: ZONES,
      drainMs: bounds.drainMs,
      mayDenyStoppedRuns: this.options.mayDenyStoppedRuns,
    });
    const targetEnds = this.targets.ports.map(port => ({
      host: '127.0.0.1',
      port,
    }));
    for (const [i, host] of hosts.entries()) {
      const others = controlHosts.filter(other => other !== host);
      const isEntry = i < entries;
      const targetLinks = isEntry ? await openLinks(targetEnds, onSilent) : [];
      const controlLinks = await openLinks(
        others.map(other => ({host: other, port: ports.internal})),
      );
      const name = isEntry ? `entry-${i}` : `control-${i - entries}`;
      const dataFolder = join(this.folder, `${name}-data`);
      mkdirSync(dataFolder);
      const daemon = new Daemon({
        dialect,
        program: this.options.earlierProgram ?? dialect.program,
        settings: {
          name,
          host,
          ports,
          dataFolder,
          bounds,
          zone: ZONES[i % ZONES.length]!,
          role: isEntry ? 'entry' : 'control',
          seeds: addresses.slice(0, 3).map(at => `${at.host}:${at.port}`),
          heartbeatMs: HEARTBEAT_MS,
        },
        links: [...targetLinks, ...controlLinks],
        folder: this.folder,
        onOwnEnd: reason => this.ownEnds.push(reason),
      });
      this.wired.push({daemon, targetLinks, controlLinks});
      daemon.start();
    }
    this.callers = new Callers(
      dialect,
      hosts.slice(0, entries).map(host => ({host, port: ports.callers})),
    );
    const {draw, operator, targets, callers, wired} = this;
    const isOver = () => this.isOver;
    this.player = new FaultPlayer({
      options: this.options,
      zones: ZONES,
      draw,
      wired,
      operator,
      targets,
      callers,
      isOver,
    });
    await operator.changeConfig(drawConfigChoice(draw), isOver);
    const isReady = await this.probeUntil(READY_TIMEOUT_MS, READY_PART);
    if (isReady.served < isReady.calls * READY_PART)
      throw new Error(`not ready: ${JSON.stringify(isReady)} ${this.folder}`);
  }

  private async judge(): Promise<SoakReport> {
    const {seed, durationMs, bounds, dialect, entries, controls} = this.options;
    const targets = this.targets.ports.length;
    const shape = {entries, controls, targets, zones: ZONES.length};
    const schedule = this.drawFaults(seed, durationMs, shape);
    this.callers.start(this.options.callers, seed);
    const reader = setInterval(
      () => void this.operator.read(false),
      READ_EVERY_MS,
    );
    const startMs = performance.now();
    for (const planned of schedule) {
      await delay(startMs + planned.atMs - performance.now());
      this.pending.push(this.player.play(planned));
    }
    await Promise.all(this.pending);
    const recovery = await this.probeUntil(bounds.recoverMs, 0.75);
    clearInterval(reader);
    await this.callers.stop();
    await this.readBack();
    const records = {
      calls: this.callers.calls,
      runs: this.targets.runs,
      configs: this.operator.configs,
      reads: this.operator.reads,
      faults: this.player.faults,
      recovery,
      ownEnds: this.ownEnds,
    };
    const violations = findViolations(records, dialect.versionOf, bounds);
    const isBroken = violations.length > 0;
    if (isBroken) {
      const path = join(this.folder, 'records.json');
      writeFileSync(path, JSON.stringify(records, undefined, 1));
    }
    return {
      seed,
      violations,
      faults: this.player.faults.length,
      calls: records.calls.length,
      served: records.calls.filter(wasServed).length,
      runs: records.runs.length,
      lastCopies: this.targets.lastCopies,
      cutOffs: countCutOffs(records, bounds),
      folder: isBroken ? this.folder : undefined,
      story: isBroken ? this.tell(violations) : '',
    };
  }

  private drawFaults(
    seed: number,
    durationMs: number,
    shape: SoakShape,
  ): readonly PlannedFault[] {
    const faults = drawSchedule(seed, durationMs, shape);
    if (this.options.earlierProgram === undefined) return faults;
    const upgrades = drawUpgrades(seed, durationMs, shape);
    return [...faults, ...upgrades].sort((a, b) => a.atMs - b.atMs);
  }

  /**
   * Probes until this part is served, at most for `ms`; returns the last round.
   */
  private async probeUntil(ms: number, part: number) {
    const endsAtMs = performance.now() + ms;
    for (;;) {
      const isLast = performance.now() >= endsAtMs;
      const calls = await this.callers.probeAll();
      const served = calls.filter(
        ({end}) => end.kind === 'answered' && end.status === 200,
      ).length;
      const round = {served, calls: calls.length};
      if (isLast || served >= calls.length * part) return round;
      await delay(PROBE_EVERY_MS);
    }
  }

  private async readBack(): Promise<void> {
    const endsAtMs = performance.now() + this.options.bounds.recoverMs;
    while (performance.now() < endsAtMs) {
      const {text} = await this.operator.read(true);
      if (text !== undefined) return;
      await delay(PROBE_EVERY_MS);
    }
  }

  private tell(violations: readonly Violation[]): string {
    return tellStory({
      startedAtMs: this.startedAtMs,
      faults: this.player.faults,
      calls: this.callers.calls,
      daemons: this.daemons,
      violations,
    });
  }

  private async close(): Promise<void> {
    this.isOver = true;
    this.targets?.close();
    await Promise.all(this.daemons.map(daemon => daemon.kill()));
    for (const {targetLinks, controlLinks} of this.wired) {
      for (const {link} of [...targetLinks, ...controlLinks]) link.close();
    }
  }

  /** Removes the files of a soak that broke no promise. */
  removeFolder(): void {
    rmSync(this.folder, {recursive: true, force: true});
  }
}

export async function playSoak(options: SoakOptions): Promise<SoakReport> {
  const soak = new Soak(options);
  const report = await soak.play();
  if (report.folder === undefined) soak.removeFolder();
  return report;
}
