/**
 * Gives requests places on targets. It knows every run that it granted, so the
 * sum over all daemons that ask it never exceeds what a target bears.
 *
 * It takes the time as a parameter and does no input or output: `onAnswer` is
 * called for each demand once it is granted or refused.
 */
import type {
  InstanceId,
  RequestId,
  ServiceId,
  TargetId,
  ZoneId,
} from '@samphirefield/core';
import type {TargetRecord} from '../registry/index.js';
import type {
  Demand,
  DispatchAnswer,
  Run,
  RunOutcome,
  ServiceCapacity,
} from './types.js';

/** Weight of a target's recent failures against its load. */
const FAILURE_PENALTY = 3;
const FAILURE_HALF_LIFE_MS = 2_500;
const AVOID_UNREACHABLE_MS = 1_000;
const AVOID_REJECTING_MS = 250;
/** Pace at which an engine reads prompts beside its running requests. */
const PREFILL_TOKENS_PER_MS = 9;
/** Prompts waiting to be read for this long weigh as much as a full target. */
const PREFILL_FULL_MS = 1_200;
const COLD_PENALTY = 0.3;
/** A target is slow for a while after its start, also once it is warm. */
const YOUNG_MS = 4_500;
const YOUNG_PENALTY = 0.5;
const TIE_BREAK = 0.02;
const COPY_OTHER_ZONE_FACTOR = 2;
/** A copy that takes this long weighs as much as a full target. */
const COPY_FULL_MS = 500;
/** Targets for each first copy of a standby that may be under way at once. */
const TARGETS_PER_STANDBY_COPY = 6;
/** What is left to copy when a run was stopped must not queue behind others. */
const MOVE_MARGIN_MS = 150;
/** Weight of copies against a target that a run could push them off from. */
const STANDBY_LOAD_WEIGHT = 0.15;
const MS_PER_S = 1_000;

/** What places take of a target. */
interface Usage {
  runs: number;
  kvTokens: number;
}

interface TargetState {
  record: TargetRecord;
  isSilent: boolean;
  readonly used: Usage;
  readonly standbyUse: Usage;
  /** The copies that are kept on it, the newest last. */
  readonly standbys: Set<RequestId>;
  avoidUntilMs: number;
  /** Decaying count of failures and of all ended runs. */
  failures: number;
  ended: number;
  decayedAtMs: number;
  coldTokens: number;
  coldAtMs: number;
  /** When this start of it was first heard of. */
  firstHeardAtMs: number;
  /** When it will have read the prompts that were sent to it. */
  prefillUntilMs: number;
  /** When the copies from and to it will be complete. */
  linkBusyUntilMs: number;
  /** When the first copy of the newest standby on it will be complete. */
  standbyCopyUntilMs: number;
}

interface Waiting {
  readonly demand: Demand;
  readonly sinceMs: number;
  readonly order: number;
}

export interface DispatcherOptions {
  readonly onAnswer: (demand: Demand, answer: DispatchAnswer) => void;
  /** Room for a copy is taken back. */
  readonly onRevoked: (run: Run) => void;
  /** This dispatcher's part of what the service's targets bear, in (0, 1]. */
  readonly share: (service: ServiceId) => number;
  /** In [0, 1); parts targets that are equally good. */
  readonly random: () => number;
}

function totalOf({used, standbyUse}: TargetState): Usage {
  return {
    runs: used.runs + standbyUse.runs,
    kvTokens: used.kvTokens + standbyUse.kvTokens,
  };
}

function clearUsage(target: TargetState): void {
  target.used.runs = 0;
  target.used.kvTokens = 0;
  target.standbyUse.runs = 0;
  target.standbyUse.kvTokens = 0;
  target.standbys.clear();
}

export class Dispatcher {
  private readonly targets = new Map<TargetId, TargetState>();
  private readonly byService = new Map<ServiceId, Set<TargetId>>();
  private readonly runs = new Map<RequestId, Run>();
  private readonly capacities = new Map<ServiceId, ServiceCapacity>();
  private zonesOut: ReadonlySet<ZoneId> = new Set();
  private waiting: Waiting[] = [];
  private nextOrder = 0;

  constructor(private readonly options: DispatcherOptions) {}

  get waitingCount(): number {
    return this.waiting.length;
  }

  get runCount(): number {
    return this.runs.size;
  }

  configure(
    capacities: readonly ServiceCapacity[],
    zonesOut: ReadonlySet<ZoneId>,
  ): void {
    this.capacities.clear();
    for (const capacity of capacities) {
      this.capacities.set(capacity.service, capacity);
    }
    this.zonesOut = zonesOut;
    for (const target of this.targets.values()) {
      if (!this.isInService(target)) this.revokeAll(target);
    }
  }

  setTarget(record: TargetRecord, isSilent: boolean, nowMs: number): void {
    const {id, service, bornMs} = record.announcement;
    const known = this.targets.get(id);
    if (known) {
      const isReborn = known.record.announcement.bornMs !== bornMs;
      this.byService.get(known.record.announcement.service)?.delete(id);
      known.record = record;
      known.isSilent = isSilent;
      if (isReborn) this.startAnew(id, known, nowMs);
      if (!this.isInService(known)) this.revokeAll(known);
    } else {
      this.targets.set(id, {
        record,
        isSilent,
        used: {runs: 0, kvTokens: 0},
        standbyUse: {runs: 0, kvTokens: 0},
        standbys: new Set(),
        avoidUntilMs: 0,
        failures: 0,
        ended: 0,
        decayedAtMs: nowMs,
        coldTokens: 0,
        coldAtMs: nowMs,
        firstHeardAtMs: nowMs,
        prefillUntilMs: nowMs,
        linkBusyUntilMs: nowMs,
        standbyCopyUntilMs: nowMs,
      });
    }
    const members = this.byService.get(service) ?? new Set();
    members.add(id);
    this.byService.set(service, members);
  }

  removeTarget(id: TargetId): void {
    const known = this.targets.get(id);
    if (known === undefined) return;
    this.byService.get(known.record.announcement.service)?.delete(id);
    this.targets.delete(id);
  }

  acquire(demand: Demand, nowMs: number): void {
    const target = this.mayStartNow(demand, nowMs)
      ? this.choose(demand, nowMs, false)
      : undefined;
    if (target) {
      this.grant(demand, target, nowMs);
      return;
    }
    if (this.hasTriedAll(demand)) {
      this.options.onAnswer(demand, {kind: 'refused', reason: 'all_tried'});
      return;
    }
    if (demand.purpose === 'standby') {
      this.refuse(demand);
      return;
    }
    this.waiting.push({demand, sinceMs: nowMs, order: this.nextOrder++});
    this.waiting.sort(
      (a, b) => a.demand.priority - b.demand.priority || a.order - b.order,
    );
    this.pump(nowMs);
  }

  /** Notes a run that another dispatcher granted, or this one before a restart. */
  adopt(run: Run): void {
    if (this.runs.has(run.request)) return;
    const target = this.targets.get(run.target);
    this.runs.set(run.request, run);
    if (target) this.count(target, run, 1);
  }

  /** A run goes on from its copy: the copy's room is now the run's place. */
  promote(request: RequestId): void {
    const run = this.runs.get(request);
    const target = run && this.targets.get(run.target);
    if (!run?.isStandby || !target) return;
    const promoted = {...run, isStandby: false};
    this.count(target, run, -1);
    this.runs.set(request, promoted);
    this.count(target, promoted, 1);
    this.revokeExcess(target);
  }

  /** Forgets every run; those who hold one have to report it anew. */
  forgetAllRuns(): void {
    this.runs.clear();
    for (const target of this.targets.values()) clearUsage(target);
  }

  release(request: RequestId, outcome: RunOutcome, nowMs: number): void {
    this.waiting = this.waiting.filter(item => item.demand.request !== request);
    const run = this.runs.get(request);
    if (run === undefined) return;
    this.runs.delete(request);
    const target = this.targets.get(run.target);
    if (target === undefined) return;
    this.count(target, run, -1);
    if (run.isStandby) return;
    this.noteOutcome(target, outcome, nowMs);
    this.pump(nowMs);
  }

  /** Frees what a daemon held that is no longer there. */
  dropEntry(entry: InstanceId, nowMs: number): void {
    this.waiting = this.waiting.filter(item => item.demand.entry !== entry);
    const lost = [...this.runs.values()].filter(run => run.entry === entry);
    for (const run of lost) this.release(run.request, 'abandoned', nowMs);
  }

  /** Serves those who wait, as far as there is room or their time is up. */
  pump(nowMs: number): void {
    const left: Waiting[] = [];
    const blocked = new Set<ServiceId>();
    for (const item of this.waiting) {
      const {demand, sinceMs} = item;
      const waitedMs = nowMs - sinceMs;
      const isImpatient = waitedMs >= demand.patienceMs;
      const isBlocked = blocked.has(demand.service) && !isImpatient;
      const target = isBlocked
        ? undefined
        : this.choose(demand, nowMs, isImpatient);
      if (target) this.grant(demand, target, nowMs);
      else if (this.isTimeUp(demand, waitedMs)) this.refuse(demand);
      else {
        left.push(item);
        blocked.add(demand.service);
      }
    }
    this.waiting = left;
  }

  private mayStartNow(demand: Demand, nowMs: number): boolean {
    if (demand.purpose === 'standby') return this.mayCopyStandby(demand, nowMs);
    return this.mayOvertake(demand);
  }

  private mayOvertake(demand: Demand): boolean {
    return !this.waiting.some(
      item =>
        item.demand.service === demand.service &&
        item.demand.priority <= demand.priority,
    );
  }

  private grant(demand: Demand, target: TargetState, nowMs: number): void {
    const {id} = target.record.announcement;
    const {request, entry, kvTokens} = demand;
    const isStandby = demand.purpose === 'standby';
    const run: Run = {request, entry, target: id, kvTokens, isStandby};
    this.runs.set(request, run);
    this.count(target, run, 1);
    if (demand.purpose === 'start') this.noteStart(target, demand, nowMs);
    else this.noteCopy(target, demand, nowMs);
    this.options.onAnswer(demand, {kind: 'granted', target: id});
    if (!isStandby) this.revokeExcess(target);
  }

  private noteStart(target: TargetState, demand: Demand, nowMs: number): void {
    if (this.isCold(target, nowMs)) target.coldTokens -= 1;
    target.prefillUntilMs =
      Math.max(nowMs, target.prefillUntilMs) +
      demand.prefillTokens / PREFILL_TOKENS_PER_MS;
  }

  /** Copies queue on the links at both ends. */
  private noteCopy(target: TargetState, demand: Demand, nowMs: number): void {
    const isMove = demand.purpose === 'move';
    const copyMs = this.copyMs(target, demand) + (isMove ? MOVE_MARGIN_MS : 0);
    const source = demand.source && this.targets.get(demand.source);
    for (const end of [target, source]) {
      if (end === undefined) continue;
      end.linkBusyUntilMs = Math.max(nowMs, end.linkBusyUntilMs) + copyMs;
    }
    if (!isMove) target.standbyCopyUntilMs = target.linkBusyUntilMs;
  }

  private copyMs(target: TargetState, demand: Demand): number {
    const {service, kvTokens, zone} = demand;
    const perTokenMs = this.capacities.get(service)?.copyMsPerToken ?? 0;
    const isOtherZone = target.record.announcement.zone !== zone;
    return kvTokens * perTokenMs * (isOtherZone ? COPY_OTHER_ZONE_FACTOR : 1);
  }

  private isLinkIdle(id: TargetId | undefined, nowMs: number): boolean {
    const target = id && this.targets.get(id);
    return target === undefined || nowMs >= target.linkBusyUntilMs;
  }

  private count(target: TargetState, run: Run, sign: 1 | -1): void {
    const usage = run.isStandby ? target.standbyUse : target.used;
    usage.runs = Math.max(0, usage.runs + sign);
    usage.kvTokens = Math.max(0, usage.kvTokens + sign * run.kvTokens);
    if (sign === 1 && run.isStandby) target.standbys.add(run.request);
    else target.standbys.delete(run.request);
  }

  /** Takes room back from the newest copies until runs and copies fit. */
  private revokeExcess(target: TargetState): void {
    const {service} = target.record.announcement;
    for (const request of [...target.standbys].reverse()) {
      if (this.loadOf(target, service, totalOf(target)) <= 1) return;
      this.revoke(target, request);
    }
  }

  private revokeAll(target: TargetState): void {
    for (const request of target.standbys) this.revoke(target, request);
  }

  private revoke(target: TargetState, request: RequestId): void {
    const run = this.runs.get(request);
    if (run === undefined) return;
    this.runs.delete(request);
    this.count(target, run, -1);
    this.options.onRevoked(run);
  }

  private membersOf(demand: Demand): TargetState[] {
    const members = this.byService.get(demand.service) ?? new Set();
    return [...members].map(id => this.targets.get(id)!);
  }

  private hasTriedAll(demand: Demand): boolean {
    if (demand.excluded.length === 0) return false;
    const usable = this.membersOf(demand).filter(target =>
      this.isUsable(target, {...demand, excluded: []}),
    );
    return (
      usable.length > 0 &&
      usable.every(target => !this.isUsable(target, demand))
    );
  }

  private hasUsable(demand: Demand): boolean {
    return this.membersOf(demand).some(target => this.isUsable(target, demand));
  }

  private isTimeUp(demand: Demand, waitedMs: number): boolean {
    if (waitedMs >= demand.maxWaitMs) return true;
    return waitedMs >= demand.noTargetWaitMs && !this.hasUsable(demand);
  }

  private refuse(demand: Demand): void {
    const reason = this.hasUsable(demand) ? 'crowded' : 'no_target';
    this.options.onAnswer(demand, {kind: 'refused', reason});
  }

  private choose(
    demand: Demand,
    nowMs: number,
    isImpatient: boolean,
  ): TargetState | undefined {
    let best: TargetState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const id of this.byService.get(demand.service) ?? []) {
      const target = this.targets.get(id)!;
      if (!this.isUsable(target, demand)) continue;
      if (this.isCold(target, nowMs) && !this.mayTakeCold(target, nowMs)) {
        continue;
      }
      const cost = this.costOf(target, demand, nowMs, isImpatient);
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return best;
  }

  private isUsable(target: TargetState, demand: Demand): boolean {
    const {id} = target.record.announcement;
    return this.isInService(target) && !demand.excluded.includes(id);
  }

  private isInService({record, isSilent}: TargetState): boolean {
    const {state, zone} = record.announcement;
    return state === 'ready' && !isSilent && !this.zonesOut.has(zone);
  }

  /** Infinite where the target bears no more. */
  private costOf(
    target: TargetState,
    demand: Demand,
    nowMs: number,
    isImpatient: boolean,
  ): number {
    if (demand.purpose === 'standby') {
      return this.standbyCost(target, demand, nowMs);
    }
    const load = this.loadWith(target, demand, target.used);
    if (load > 1 && !isImpatient) return Number.POSITIVE_INFINITY;
    const standbyLoad = this.loadOf(target, demand.service, target.standbyUse);
    const penalty =
      demand.purpose === 'move'
        ? this.movePenalty(target, demand, nowMs)
        : this.penalty(target, demand, nowMs);
    return load + STANDBY_LOAD_WEIGHT * standbyLoad + penalty;
  }

  private standbyCost(
    target: TargetState,
    demand: Demand,
    nowMs: number,
  ): number {
    const load = this.loadWith(target, demand, totalOf(target));
    const mayHold =
      load <= 1 &&
      !this.isCold(target, nowMs) &&
      nowMs >= target.linkBusyUntilMs;
    if (!mayHold) return Number.POSITIVE_INFINITY;
    return load + this.copyMs(target, demand) / COPY_FULL_MS;
  }

  /** Leaves most links to moves, which cannot wait. */
  private mayCopyStandby(demand: Demand, nowMs: number): boolean {
    if (!this.isLinkIdle(demand.source, nowMs)) return false;
    const members = this.membersOf(demand);
    const copying = members.filter(item => nowMs < item.standbyCopyUntilMs);
    const most = Math.max(1, members.length / TARGETS_PER_STANDBY_COPY);
    return copying.length + 1 <= most;
  }

  /** What was read already needs no reading: the time of the copy counts. */
  private movePenalty(
    target: TargetState,
    demand: Demand,
    nowMs: number,
  ): number {
    const waitMs = Math.max(0, target.linkBusyUntilMs - nowMs);
    const copyMs = waitMs + this.copyMs(target, demand);
    return (
      copyMs / COPY_FULL_MS +
      this.troublePenalty(target, nowMs) +
      this.options.random() * TIE_BREAK
    );
  }

  /** How full the target would be; above 1 it bears no more. */
  private loadWith(target: TargetState, demand: Demand, usage: Usage): number {
    const runs = usage.runs + 1;
    const kvTokens = usage.kvTokens + demand.kvTokens;
    // A request that is larger than this part of the memory may run alone.
    const {service, kvTokens: leastKvTokens} = demand;
    return this.loadOf(target, service, {runs, kvTokens}, leastKvTokens);
  }

  private loadOf(
    target: TargetState,
    service: ServiceId,
    {runs, kvTokens}: Usage,
    leastKvTokens = 0,
  ): number {
    const share = this.options.share(service);
    const slots = Math.max(1, target.record.announcement.slots * share);
    const slotLoad = runs / slots;
    const capacity = this.capacities.get(service)?.kvTokens;
    if (capacity === undefined) return slotLoad;
    const memory = Math.max(leastKvTokens, capacity * share);
    return Math.max(slotLoad, kvTokens / memory);
  }

  private penalty(target: TargetState, demand: Demand, nowMs: number): number {
    const isOtherZone = target.record.announcement.zone !== demand.zone;
    const ageMs = nowMs - target.firstHeardAtMs;
    const youth = Math.max(0, 1 - ageMs / YOUNG_MS);
    const backlogMs = Math.max(0, target.prefillUntilMs - nowMs);
    return (
      (isOtherZone ? demand.otherZonePenalty : 0) +
      backlogMs / PREFILL_FULL_MS +
      YOUNG_PENALTY * youth +
      this.troublePenalty(target, nowMs) +
      this.options.random() * TIE_BREAK
    );
  }

  private troublePenalty(target: TargetState, nowMs: number): number {
    this.decay(target, nowMs);
    const failureShare = target.failures / Math.max(1, target.ended);
    const isAvoided = nowMs < target.avoidUntilMs;
    return (
      failureShare * FAILURE_PENALTY +
      (this.isCold(target, nowMs) ? COLD_PENALTY : 0) +
      (isAvoided ? FAILURE_PENALTY : 0)
    );
  }

  private decay(target: TargetState, nowMs: number): void {
    const factor = 0.5 ** ((nowMs - target.decayedAtMs) / FAILURE_HALF_LIFE_MS);
    target.failures *= factor;
    target.ended *= factor;
    target.decayedAtMs = nowMs;
  }

  private noteOutcome(
    target: TargetState,
    outcome: RunOutcome,
    nowMs: number,
  ): void {
    if (outcome === 'abandoned') return;
    this.decay(target, nowMs);
    target.ended += 1;
    if (outcome === 'served') return;
    if (outcome !== 'rejected') target.failures += 1;
    const avoidMs =
      outcome === 'not_connected' ? AVOID_UNREACHABLE_MS : AVOID_REJECTING_MS;
    if (outcome !== 'failed') target.avoidUntilMs = nowMs + avoidMs;
  }

  private isCold(target: TargetState, nowMs: number): boolean {
    return nowMs < target.record.coldUntilMs;
  }

  /** One token a request; a second's worth is the most that is saved up. */
  private mayTakeCold(target: TargetState, nowMs: number): boolean {
    const {service} = target.record.announcement;
    const perS =
      (this.capacities.get(service)?.coldRequestsPerS ?? 0) *
      this.options.share(service);
    if (perS === 0) return true;
    const gained = ((nowMs - target.coldAtMs) / MS_PER_S) * perS;
    target.coldTokens = Math.min(
      Math.max(1, perS / 2),
      target.coldTokens + gained,
    );
    target.coldAtMs = nowMs;
    return target.coldTokens >= 1;
  }

  private startAnew(id: TargetId, target: TargetState, nowMs: number): void {
    target.firstHeardAtMs = nowMs;
    target.prefillUntilMs = nowMs;
    target.linkBusyUntilMs = nowMs;
    this.revokeAll(target);
    clearUsage(target);
    target.failures = 0;
    target.ended = 0;
    for (const run of this.runs.values()) {
      if (run.target === id) this.runs.delete(run.request);
    }
  }
}
