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
import {countCutOffs, wasServed, type CutOffCount} from './cut-off.js';
import {findViolations, type Violation} from './checks.js';
import {createControlCaller, Operator} from './operator.js';
import {Daemon, markSilence, type RoutedLink} from './processes.js';
import {Link, type SilenceListener} from './proxy.js';
import {
  chance,
  createDraw,
  drawSchedule,
  drawUpgrades,
  isPlannedFault,
  pick,
  type Build,
  type Draw,
  type Fault,
  type PlannedFault,
  type SoakShape,
} from './schedule.js';
import {TargetFleet} from './targets.js';
import type {Address, FaultRecord, SoakBounds, SoakDialect} from './types.js';

const ZONES = ['z-a', 'z-b', 'z-c'] as const;
const PLAIN_SERVICES = ['desk-a', 'desk-b'] as const;
const ENGINE_SERVICE = 'engines';
const HEARTBEAT_MS = 1_200;
const MIN_TARGETS_PER_SERVICE = 3;
/** With more entries, probes of all at once would fill the targets. */
const ENTRIES_PER_TARGET = 8;
const MAX_FEW_ROUTES = 20;
/** From this number on, a draw means a large configuration. */
const LARGE_FROM = 18;
const LARGE_FACTOR = 100;
const READ_EVERY_MS = 400;
const READY_TIMEOUT_MS = 120_000;
/** Targets answer some calls with 500; of few calls this is all. */
const READY_PART = 0.9;
const PROBE_EVERY_MS = 500;
const DOWN_MS = 200;
const TURN_CHECK_MS = 50;
const MS_PER_S = 1_000;
/** So many of the entries that are cut off are called, and of the others. */
const CALLED_WHILE_CUT_OFF = 3;
const LOG_LINES = 12;
const TIME_LINE_CALLS = 40;

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

interface Wired {
  readonly daemon: Daemon;
  readonly targetLinks: readonly RoutedLink[];
  readonly controlLinks: readonly RoutedLink[];
}

const openLinks = (
  ends: readonly Address[],
  onSilent?: SilenceListener,
): Promise<RoutedLink[]> =>
  Promise.all(
    ends.map(async to => ({to, link: await Link.open(to, onSilent)})),
  );

class Soak {
  private readonly faults: FaultRecord[] = [];
  private readonly ownEnds: string[] = [];
  private readonly pending: Array<Promise<void>> = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'samphirefield-soak-'));
  private readonly wired: Wired[] = [];
  private readonly draw: Draw;
  private operator!: Operator;
  private targets!: TargetFleet;
  private callers!: Callers;
  private isOver = false;
  private isStopping = false;
  private lastUpgrade: Promise<void> = Promise.resolve();
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
    await this.operator.changeConfig(this.drawConfig(), () => this.isOver);
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
      this.pending.push(this.playInOrder(planned));
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
      faults: this.faults,
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
      faults: this.faults.length,
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

  private drawConfig() {
    const plainService = pick(this.draw, PLAIN_SERVICES);
    const few = this.draw(0, MAX_FEW_ROUTES);
    const spareRoutes = few < LARGE_FROM ? few : few * LARGE_FACTOR;
    return {plainService, engineService: ENGINE_SERVICE, spareRoutes};
  }

  /** Changes the configuration, and calls its last route once it is in force. */
  private async changeConfig(): Promise<void> {
    const choice = this.drawConfig();
    await this.operator.changeConfig(choice, () => this.isOver);
    await delay(this.options.bounds.configMs);
    const spareRoute = choice.spareRoutes - 1;
    if (spareRoute < 0) return;
    const calls = this.daemons
      .slice(0, this.options.entries)
      .map((_, entry) =>
        this.callers.callOnce({kind: 'safe', entry, spareRoute}),
      );
    await Promise.all(calls);
  }

  /** Daemons change their builds one after another; the rest overlaps. */
  private playInOrder(planned: PlannedFault): Promise<void> {
    const {fault} = planned;
    const isUpgrade =
      fault.kind === 'upgrade_entry' || fault.kind === 'upgrade_control';
    if (!isUpgrade) return this.playFault(planned);
    this.lastUpgrade = this.lastUpgrade
      .then(() => this.untilStoppable(fault.daemon))
      .then(() => this.playFault(planned));
    return this.lastUpgrade;
  }

  private async playFault({fault, forMs}: PlannedFault): Promise<void> {
    const name = JSON.stringify({...fault, forMs});
    const entry = this.entryOf(fault);
    const isStoppable = !this.isStopping && this.daemons[entry ?? 0]!.isRunning;
    if (fault.kind === 'stop_entry' && !isStoppable) return;
    const record: FaultRecord = {
      name,
      kind: fault.kind,
      isPlanned: isPlannedFault(fault),
      entry,
      disrupted: this.disruptedBy(fault),
      cutOff: fault.kind === 'cut_off' ? fault.entries : [],
      fromMs: performance.now(),
      untilMs: Infinity,
    };
    this.faults.push(record);
    await this.act(fault, forMs);
    record.untilMs = performance.now();
  }

  private entryOf(fault: Fault): number | undefined {
    if (fault.kind === 'stop_entry') return fault.entry;
    if (fault.kind === 'upgrade_entry') return fault.daemon;
    const isEntry =
      fault.kind === 'reload' && fault.daemon < this.options.entries;
    return isEntry ? fault.daemon : undefined;
  }

  private disruptedBy(fault: Fault): readonly number[] {
    switch (fault.kind) {
      case 'stop_entry':
      case 'kill_entry':
        return [fault.entry];
      case 'pause':
      case 'cut':
      case 'upgrade_entry':
        return [fault.daemon];
      case 'cut_off':
        return fault.entries;
      default:
        return [];
    }
  }

  private async act(fault: Fault, forMs: number): Promise<void> {
    const {entries, bounds} = this.options;
    switch (fault.kind) {
      case 'stop_entry':
        return this.stopInTurn(fault.entry);
      case 'kill_entry':
        return this.restart(fault.entry, daemon => daemon.kill());
      case 'stop_control':
        return this.restart(entries + fault.control, daemon =>
          daemon.stop(bounds.graceMs),
        );
      case 'kill_control':
        return this.restart(entries + fault.control, daemon => daemon.kill());
      case 'reload':
        this.daemons[fault.daemon]!.reload();
        return;
      case 'pause':
        return this.pause(this.daemons[fault.daemon]!, forMs);
      case 'change_config':
        return this.changeConfig();
      case 'zone_out':
        return this.takeZoneOut(ZONES[fault.zone]!, forMs);
      case 'target_leaves':
        return this.targets.leave(fault.target);
      case 'target_crashes':
        return this.targets.crash(fault.target);
      case 'target_silent':
        return this.targets.disturb(fault.target, 'isSilent', forMs);
      case 'target_odd':
        return this.targets.disturb(fault.target, 'isOdd', forMs);
      case 'cut':
        return this.cutSome(fault, forMs);
      case 'cut_off':
        return this.cutOff(fault, forMs);
      case 'upgrade_entry':
      case 'upgrade_control':
        return this.changeBuild(fault.daemon, fault.to);
    }
  }

  /** Waits until the daemon may be stopped, as others may not be at the time. */
  private async untilStoppable(position: number): Promise<void> {
    const isEntry = position < this.options.entries;
    while (!this.daemons[position]!.isRunning || (isEntry && this.isStopping))
      await delay(TURN_CHECK_MS);
  }

  private changeBuild(position: number, build: Build): Promise<void> {
    const {dialect, earlierProgram, entries, bounds} = this.options;
    this.daemons[position]!.program =
      build === 'tested' ? dialect.program : earlierProgram!;
    if (position < entries) return this.stopInTurn(position);
    return this.restart(position, daemon => daemon.stop(bounds.graceMs));
  }

  /** Entries are stopped one after another; others are not stopped meanwhile. */
  private async stopInTurn(entry: number): Promise<void> {
    this.isStopping = true;
    const {graceMs} = this.options.bounds;
    await this.restart(entry, daemon => daemon.stop(graceMs));
    this.isStopping = false;
  }

  private async restart(
    position: number,
    end: (daemon: Daemon) => Promise<void>,
  ): Promise<void> {
    const daemon = this.daemons[position]!;
    if (!daemon.isRunning) return;
    await end(daemon);
    await delay(DOWN_MS);
    daemon.start();
  }

  private async pause(daemon: Daemon, forMs: number): Promise<void> {
    daemon.signal('SIGSTOP');
    await delay(forMs);
    daemon.signal('SIGCONT');
  }

  private async takeZoneOut(zone: string, forMs: number): Promise<void> {
    const isOver = () => this.isOver;
    await this.operator.setZone(zone, true, isOver);
    await delay(forMs);
    await this.operator.setZone(zone, false, isOver);
  }

  private cutSome(
    fault: Extract<Fault, {kind: 'cut'}>,
    forMs: number,
  ): Promise<void> {
    const {targetLinks, controlLinks} = this.wired[fault.daemon]!;
    const links = fault.toward === 'targets' ? targetLinks : controlLinks;
    const chosen = links.filter(() => chance(this.draw, fault.percent));
    return this.cut(chosen, fault, forMs);
  }

  /** Calls some entries meanwhile, since other callers wait for their streams. */
  private async cutOff(
    fault: Extract<Fault, {kind: 'cut_off'}>,
    forMs: number,
  ): Promise<void> {
    const others = Array.from(
      {length: this.options.entries},
      (_, i) => i,
    ).filter(entry => !fault.entries.includes(entry));
    const called = [fault.entries, others].flatMap(entries =>
      entries.slice(0, CALLED_WHILE_CUT_OFF),
    );
    const stopCalls = this.callers.callSteadily(called);
    const links = fault.entries.flatMap(
      entry => this.wired[entry]!.targetLinks,
    );
    await this.cut(links, fault, forMs);
    stopCalls();
  }

  private async cut(
    links: readonly RoutedLink[],
    {how, keepsLive}: Pick<Extract<Fault, {kind: 'cut'}>, 'how' | 'keepsLive'>,
    forMs: number,
  ): Promise<void> {
    for (const {link} of links) link.cut(how, keepsLive);
    await delay(forMs);
    await Promise.all(links.map(({link}) => link.heal(how)));
  }

  private tell(violations: readonly Violation[]): string {
    const since = (ms: number) =>
      ((ms - this.startedAtMs) / MS_PER_S).toFixed(2);
    const faults = this.faults.map(
      ({name, fromMs, untilMs}) => `${since(fromMs)}-${since(untilMs)} ${name}`,
    );
    const attempts = new Set(violations.map(({attempt}) => attempt));
    const calls = this.callers.calls
      .filter(({attempt}) => attempts.has(attempt))
      .slice(0, TIME_LINE_CALLS)
      .map(
        call =>
          `${since(call.sentAtMs)}-${since(call.endedAtMs)} ${JSON.stringify(call)}`,
      );
    const logs = this.daemons.map(
      daemon => `${daemon.name}:\n${daemon.lastLines(LOG_LINES)}`,
    );
    return [...faults, ...calls, ...logs].join('\n');
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
