/** Plays the faults of a schedule on the processes, links and targets of a soak. */
import {setTimeout as delay} from 'node:timers/promises';
import type {Callers} from './callers.js';
import {drawConfigChoice} from './config-choice.js';
import type {Operator} from './operator.js';
import type {Daemon, RoutedLink} from './processes.js';
import {
  chance,
  isPlannedFault,
  type Build,
  type Draw,
  type Fault,
  type PlannedFault,
} from './schedule.js';
import type {TargetFleet} from './targets.js';
import type {FaultRecord, SoakBounds, SoakDialect} from './types.js';

const DOWN_MS = 200;
const TURN_CHECK_MS = 50;
/** So many of the entries that are cut off are called, and of the others. */
const CALLED_WHILE_CUT_OFF = 3;

/** A daemon and the links through which it connects. */
export interface Wired {
  readonly daemon: Daemon;
  readonly targetLinks: readonly RoutedLink[];
  readonly controlLinks: readonly RoutedLink[];
}

export interface FaultContext {
  readonly options: {
    readonly dialect: SoakDialect;
    /** Path of the program from which the daemons are upgraded, if they are. */
    readonly earlierProgram?: string | undefined;
    readonly bounds: SoakBounds;
    /** The first daemons are entries. */
    readonly entries: number;
  };
  readonly zones: readonly string[];
  readonly draw: Draw;
  readonly wired: readonly Wired[];
  readonly operator: Operator;
  readonly targets: TargetFleet;
  readonly callers: Callers;
  /** Whether the soak has ended, so that nothing is sent any more. */
  readonly isOver: () => boolean;
}

export class FaultPlayer {
  /** Each fault as it was played. */
  readonly faults: FaultRecord[] = [];
  private isStopping = false;
  private lastUpgrade: Promise<void> = Promise.resolve();

  constructor(private readonly context: FaultContext) {}

  /** Daemons change their builds one after another; the rest overlaps. */
  play(planned: PlannedFault): Promise<void> {
    const {fault} = planned;
    const isUpgrade =
      fault.kind === 'upgrade_entry' || fault.kind === 'upgrade_control';
    if (!isUpgrade) return this.playFault(planned);
    this.lastUpgrade = this.lastUpgrade
      .then(() => this.untilStoppable(fault.daemon))
      .then(() => this.playFault(planned));
    return this.lastUpgrade;
  }

  private get daemons(): readonly Daemon[] {
    return this.context.wired.map(({daemon}) => daemon);
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
      fault.kind === 'reload' && fault.daemon < this.context.options.entries;
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
    const {entries, bounds} = this.context.options;
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
        return this.takeZoneOut(this.context.zones[fault.zone]!, forMs);
      case 'target_leaves':
        return this.context.targets.leave(fault.target);
      case 'target_crashes':
        return this.context.targets.crash(fault.target);
      case 'target_silent':
        return this.context.targets.disturb(fault.target, 'isSilent', forMs);
      case 'target_odd':
        return this.context.targets.disturb(fault.target, 'isOdd', forMs);
      case 'cut':
        return this.cutSome(fault, forMs);
      case 'cut_off':
        return this.cutOff(fault, forMs);
      case 'upgrade_entry':
      case 'upgrade_control':
        return this.changeBuild(fault.daemon, fault.to);
    }
  }

  /** Changes the configuration, and calls its last route once it is in force. */
  private async changeConfig(): Promise<void> {
    const choice = drawConfigChoice(this.context.draw);
    await this.context.operator.changeConfig(choice, this.context.isOver);
    await delay(this.context.options.bounds.configMs);
    const spareRoute = choice.spareRoutes - 1;
    if (spareRoute < 0) return;
    const calls = this.daemons
      .slice(0, this.context.options.entries)
      .map((_, entry) =>
        this.context.callers.callOnce({kind: 'safe', entry, spareRoute}),
      );
    await Promise.all(calls);
  }

  /** Waits until the daemon may be stopped, as others may not be at the time. */
  private async untilStoppable(position: number): Promise<void> {
    const isEntry = position < this.context.options.entries;
    while (!this.daemons[position]!.isRunning || (isEntry && this.isStopping))
      await delay(TURN_CHECK_MS);
  }

  private changeBuild(position: number, build: Build): Promise<void> {
    const {dialect, earlierProgram, entries, bounds} = this.context.options;
    this.daemons[position]!.program =
      build === 'tested' ? dialect.program : earlierProgram!;
    if (position < entries) return this.stopInTurn(position);
    return this.restart(position, daemon => daemon.stop(bounds.graceMs));
  }

  /** Entries are stopped one after another; others are not stopped meanwhile. */
  private async stopInTurn(entry: number): Promise<void> {
    this.isStopping = true;
    const {graceMs} = this.context.options.bounds;
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
    const {isOver} = this.context;
    await this.context.operator.setZone(zone, true, isOver);
    await delay(forMs);
    await this.context.operator.setZone(zone, false, isOver);
  }

  private cutSome(
    fault: Extract<Fault, {kind: 'cut'}>,
    forMs: number,
  ): Promise<void> {
    const {targetLinks, controlLinks} = this.context.wired[fault.daemon]!;
    const links = fault.toward === 'targets' ? targetLinks : controlLinks;
    const chosen = links.filter(() => chance(this.context.draw, fault.percent));
    return this.cut(chosen, fault, forMs);
  }

  /** Calls some entries meanwhile, since other callers wait for their streams. */
  private async cutOff(
    fault: Extract<Fault, {kind: 'cut_off'}>,
    forMs: number,
  ): Promise<void> {
    const others = Array.from(
      {length: this.context.options.entries},
      (_, i) => i,
    ).filter(entry => !fault.entries.includes(entry));
    const called = [fault.entries, others].flatMap(entries =>
      entries.slice(0, CALLED_WHILE_CUT_OFF),
    );
    const stopCalls = this.context.callers.callSteadily(called);
    const links = fault.entries.flatMap(
      entry => this.context.wired[entry]!.targetLinks,
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
}
