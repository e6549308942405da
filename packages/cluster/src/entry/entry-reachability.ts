/**
 * An entry's knowledge of its links to targets: takes what the gateway sees of
 * its connections, probes targets that are suspected or unreachable until they
 * connect, and knows of which services the entry reaches no target.
 */
import type {Logger, ServiceId, TargetId} from '@samphirefield/core';
import {
  probeConnection,
  type ConnectOutcome,
  type TargetReachability,
  type TargetRecord,
  type UpstreamAddress,
} from '@samphirefield/gateway';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import {
  createReachability,
  dueTargets,
  hasFailed,
  isReachable,
  noteConnected,
  isLost,
  noteFailedProbe,
  noteStart,
  noteUnreachable,
  postponeProbe,
  suspectOthers,
  takeDueProbe,
  type DueProbe,
  type KeptConnections,
  type UnreachableReason,
} from '@samphirefield/policy/reachability';
import {TargetsByService} from './targets-by-service.js';

const ROUND_MS = 100;
const MAX_PROBES_IN_FLIGHT = 256;
/** Others that are asked whether the entry has lost its links. */
const WITNESSES = 3;
const WITNESS_TIMEOUT_MS = 300;

/** The connections that the gateway keeps to targets. */
export interface TargetConnectionPool {
  keptConnections(address: UpstreamAddress): KeptConnections;
  closeIdle(address: UpstreamAddress): void;
}

/** For an entry without a gateway. */
export const NO_CONNECTIONS: TargetConnectionPool = {
  keptConnections: () => ({hasIdle: false, lastReceivedAtMs: undefined}),
  closeIdle: () => undefined,
};

export interface EntryReachabilityOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly random: () => number;
  readonly pool: TargetConnectionPool;
  readonly targets: () => ReadonlyMap<TargetId, TargetRecord>;
  /** Whether the target would get new requests if it can be reached. */
  readonly isUsable: (record: TargetRecord) => boolean;
  /** Whether this start is known to have crashed. */
  readonly hasCrashed: (start: TargetStart) => boolean;
  /** Default: connects to the address. */
  readonly probe?: typeof probeConnection;
}

const startOf = ({announcement: {id, bornMs}}: TargetRecord): TargetStart => ({
  target: id,
  bornMs,
});

function reasonOf(text: string): UnreachableReason {
  return text === 'refused' || text === 'silent' ? text : 'timeout';
}

export class EntryReachability implements TargetReachability {
  private readonly table = createReachability();
  private readonly byService = new TargetsByService();
  private readonly unreachableSinceMs = new Map<TargetId, number>();
  private readonly cutOffSinceMs = new Map<ServiceId, number>();
  /** Answers that are awaited, by the target that refused. */
  private readonly witnessed = new Map<TargetId, Promise<boolean>>();
  private readonly probe: typeof probeConnection;
  /** Targets to probe, the next one last; some may not be due any more. */
  private due: TargetId[] = [];
  /** Those that may be suspected in this round. */
  private others: TargetStart[] | undefined;
  private probesInFlight = 0;
  private probeCount = 0;
  /** Runs while something is suspected or unreachable. */
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: EntryReachabilityOptions) {
    this.probe = options.probe ?? probeConnection;
  }

  unreachableTargets(service: ServiceId): readonly TargetId[] {
    if (this.table.size === 0) return [];
    return this.recordsOf(service)
      .filter(record => !this.isReachable(record))
      .map(({announcement}) => announcement.id);
  }

  isCutOff(service: ServiceId): boolean {
    if (this.table.size === 0) return false;
    const usable = this.recordsOf(service).filter(this.options.isUsable);
    return (
      usable.length > 0 && !usable.some(record => this.isReachable(record))
    );
  }

  isLost(start: TargetStart): boolean {
    return isLost(this.table, start);
  }

  noteConnected(start: TargetStart): void {
    if (this.table.size === 0) return;
    noteConnected(this.table, start);
    this.logChange(start);
  }

  noteUnreachable(start: TargetStart, reason: string): void {
    const {nowMs} = this.options;
    noteUnreachable(this.table, start, reasonOf(reason), nowMs());
    this.logChange(start);
    this.probeNext([start]);
    if (this.timer === undefined) this.runRound();
  }

  /** Takes what is announced of a target, which may have started anew. */
  onTarget(record: TargetRecord): void {
    const {id, service} = record.announcement;
    this.byService.set(id, service);
    if (this.table.size === 0) return;
    noteStart(this.table, startOf(record));
    this.logChange(startOf(record));
  }

  forget(target: TargetId): void {
    this.byService.delete(target);
    this.removeRow(target);
  }

  /**
   * Whether none of a few other targets can be connected to, so that the refusal
   * of this start need not be a crash.
   */
  hasLostLinks({target}: TargetStart): Promise<boolean> {
    const asked = this.witnessed.get(target);
    if (asked) return asked;
    const asking = this.askWitnesses(target).finally(() =>
      this.witnessed.delete(target),
    );
    this.witnessed.set(target, asking);
    return asking;
  }

  metrics(): Record<string, number> {
    return {
      targets_unreachable: this.unreachableSinceMs.size,
      services_cut_off: this.cutOffSinceMs.size,
      target_probes: this.probeCount,
    };
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  private async askWitnesses(target: TargetId): Promise<boolean> {
    const witnesses = this.drawWitnesses(target);
    this.probeCount += witnesses.length;
    const outcomes = await Promise.all(
      witnesses.map(({announcement}) =>
        this.probe(announcement, WITNESS_TIMEOUT_MS),
      ),
    );
    return outcomes.length > 0 && !outcomes.includes('connected');
  }

  /** Draws others; those that have crashed only if there are no more. */
  private drawWitnesses(target: TargetId): TargetRecord[] {
    const {hasCrashed, isUsable, random, targets} = this.options;
    const others = [...targets().values()];
    const drawn: TargetRecord[] = [];
    const crashed: TargetRecord[] = [];
    while (drawn.length < WITNESSES && others.length > 0) {
      const position = Math.floor(random() * others.length);
      const [record] = others.splice(position, 1);
      const isOther = record!.announcement.id !== target;
      if (!isOther || !isUsable(record!)) continue;
      if (hasCrashed(startOf(record!))) crashed.push(record!);
      else drawn.push(record!);
    }
    return drawn.length > 0 ? drawn : crashed.slice(0, WITNESSES);
  }

  private recordsOf(service: ServiceId): TargetRecord[] {
    const targets = this.options.targets();
    return [...this.byService.targetsOf(service)].flatMap(
      id => targets.get(id) ?? [],
    );
  }

  private removeRow(target: TargetId): void {
    this.table.delete(target);
    this.unreachableSinceMs.delete(target);
  }

  private isReachable(record: TargetRecord): boolean {
    return isReachable(this.table, startOf(record), () =>
      this.options.pool.keptConnections(record.announcement),
    );
  }

  /** Makes the probes that are due, and judges the services anew. */
  private runRound(): void {
    if (this.isStopped) return;
    this.others = undefined;
    this.due = dueTargets(this.table, this.options.nowMs()).reverse();
    this.makeProbes();
    this.logCutOffs();
    this.setTimer();
  }

  /** Probes these first, without waiting for the next round. */
  private probeNext(starts: readonly TargetStart[]): void {
    for (const {target} of starts) this.due.push(target);
    this.makeProbes();
  }

  private makeProbes(): void {
    while (!this.isStopped && this.probesInFlight < MAX_PROBES_IN_FLIGHT) {
      const target = this.due.pop();
      if (target === undefined) return;
      const probe = takeDueProbe(this.table, target, this.options.nowMs());
      if (probe) void this.makeProbe(probe);
    }
  }

  private setTimer(): void {
    if (this.table.size === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    this.timer ??= setInterval(() => this.runRound(), ROUND_MS).unref();
  }

  private async makeProbe({start, timeoutMs}: DueProbe): Promise<void> {
    const record = this.options.targets().get(start.target);
    if (record?.announcement.bornMs !== start.bornMs) {
      this.removeRow(start.target);
      return;
    }
    if (!this.options.isUsable(record)) {
      postponeProbe(this.table, start, this.options.nowMs());
      return;
    }
    this.probesInFlight += 1;
    this.probeCount += 1;
    const outcome = await this.probe(record.announcement, timeoutMs);
    this.probesInFlight -= 1;
    if (!this.isStopped) this.takeOutcome(record, outcome);
  }

  private takeOutcome(record: TargetRecord, outcome: ConnectOutcome): void {
    const {pool, nowMs} = this.options;
    const start = startOf(record);
    switch (outcome) {
      case 'connected':
        this.noteConnected(start);
        break;
      case 'local_failure':
        postponeProbe(this.table, start, nowMs());
        break;
      case 'timeout':
        pool.closeIdle(record.announcement);
        this.noteFailure(start, outcome);
        break;
      case 'refused':
        this.noteFailure(start, outcome);
        break;
    }
    this.makeProbes();
  }

  private noteFailure(start: TargetStart, reason: UnreachableReason): void {
    const {nowMs, random, targets} = this.options;
    const isFirst = noteFailedProbe(this.table, start, reason, nowMs());
    this.logChange(start);
    if (!isFirst) return;
    this.others ??= [...targets().values()].map(startOf);
    const keptOf = (other: TargetStart) => this.keptInUse(other);
    const suspects = suspectOthers(
      this.table,
      this.others,
      keptOf,
      nowMs(),
      random,
    );
    this.probeNext(suspects);
  }

  /** The kept connections to a start that may get requests. */
  private keptInUse({
    target,
    bornMs,
  }: TargetStart): KeptConnections | undefined {
    const {isUsable, pool, targets} = this.options;
    const record = targets().get(target);
    if (record?.announcement.bornMs !== bornMs) return undefined;
    return isUsable(record)
      ? pool.keptConnections(record.announcement)
      : undefined;
  }

  private logChange(start: TargetStart): void {
    const {logger, nowMs, targets} = this.options;
    const {target, bornMs} = start;
    const isUnreachable = hasFailed(this.table, start);
    const sinceMs = this.unreachableSinceMs.get(target);
    if (isUnreachable === (sinceMs !== undefined)) return;
    const service = targets().get(target)?.announcement.service;
    const fields = {target, born_ms: bornMs, service};
    if (sinceMs === undefined) {
      this.unreachableSinceMs.set(target, nowMs());
      const {reason} = this.table.get(target)!;
      logger.warn('target_unreachable', {...fields, reason});
      return;
    }
    this.unreachableSinceMs.delete(target);
    const afterMs = Math.round(nowMs() - sinceMs);
    logger.info('target_reachable', {...fields, after_ms: afterMs});
  }

  private logCutOffs(): void {
    const {logger, nowMs} = this.options;
    for (const service of this.servicesToJudge()) {
      const isCutOff = this.isCutOff(service);
      const sinceMs = this.cutOffSinceMs.get(service);
      if (isCutOff && sinceMs === undefined) {
        this.cutOffSinceMs.set(service, nowMs());
        logger.warn('cut_off', {service});
      } else if (!isCutOff && sinceMs !== undefined) {
        this.cutOffSinceMs.delete(service);
        const afterMs = Math.round(nowMs() - sinceMs);
        logger.info('cut_off_ended', {service, after_ms: afterMs});
      }
    }
  }

  /** Those that are cut off, and those of which a target has failed. */
  private servicesToJudge(): Set<ServiceId> {
    const services = new Set(this.cutOffSinceMs.keys());
    for (const target of this.unreachableSinceMs.keys()) {
      const service = this.byService.serviceOf(target);
      if (service) services.add(service);
    }
    return services;
  }
}
