/**
 * Plays a scenario in virtual time: the gateway's dispatcher grants engines of
 * the emulator's model, and the callers' view of each request is recorded.
 */
import {
  instanceId,
  requestId,
  zoneId,
  type TargetId,
} from '@samphirefield/core';
import {step, submit} from '@samphirefield/fakes';
import {
  Dispatcher,
  moveDemand,
  startDemand,
  type Demand,
  type DispatchResult,
  type TokenCounts,
} from '@samphirefield/gateway';
import {createRandom} from '@samphirefield/replication/fuzz';
import {EventQueue} from '../simulate/event-queue.js';
import {acceptsZone, drawRequest, drawWorkspace, uniform} from './draw.js';
import {
  COLD_REQUESTS_PER_S,
  createPlayedEngine,
  SERVICE,
  type Engine,
} from './fleet.js';
import {HOP_MS, recordEnd, recordToken, type Running} from './responses.js';
import type {RequestClass, Scenario} from './scenario.js';
import {PlayedSpeeds} from './speeds.js';
import type {PlayedRequest, PlayFigures} from './types.js';

const ENTRY_COUNT = 20;
const DISPATCH_EVERY_MS = 250;
const REPORT_EVERY_MS = 100;
/** Time for a copy of a KV cache and the change to the next engine. */
const MOVE_MS = 90;
/** As the gateway: the default, and the longest wait as a share of the time left. */
const RETRY_AFTER_DEFAULT_MS = 400;
const RETRY_AFTER_SHARE = 0.3;
/** Attempts of one caller's request, including the first. */
const MAX_CLIENT_ATTEMPTS = 2;
/** Time after the last arrival in which requests end; above every deadline. */
const DRAIN_MS = 45_000;
/** When engines leave for the first time. */
const FIRST_LEAVE_MS = 1_500;
/** Time until the next attempt to move: no run is ready, or none has room. */
const MOVE_POLL_MS = 40;
const MOVE_RETRY_MS = 120;
const COLD_MS = 1_000;
const MS_PER_S = 1_000;
/** Added to the seed for the dispatcher's choices. */
const CHOICES_SEED = 1_000_003;

type PlayedEngine = Engine<Running>;

class Play {
  private readonly events = new EventQueue();
  private readonly random;
  private readonly engines = new Map<TargetId, PlayedEngine>();
  private readonly requests: PlayedRequest[] = [];
  private readonly waiting = new Map<
    string,
    (result: DispatchResult) => void
  >();
  private readonly dispatcher: Dispatcher;
  private readonly speeds: PlayedSpeeds;
  private engineCount = 0;
  private runCount = 0;
  private preemptions = 0;

  constructor(
    private readonly scenario: Scenario,
    seed: number,
    usesAdmission: boolean,
  ) {
    this.random = createRandom(seed);
    this.speeds = new PlayedSpeeds(scenario, ENTRY_COUNT, seed);
    const choices = createRandom(seed + CHOICES_SEED);
    this.dispatcher = new Dispatcher({
      onResult: (demand, result) => {
        const resolve = this.waiting.get(demand.request);
        this.waiting.delete(demand.request);
        resolve?.(result);
      },
      usesAdmission,
      share: () => 1,
      speeds: this.speeds,
      // Its own generator, so that the arrivals of a seed are the same.
      random: () => choices.below(1_000) / 1_000,
    });
    this.dispatcher.configure(
      [
        {
          service: SERVICE,
          kvTokens: scenario.kvTokens,
          coldRequestsPerS: COLD_REQUESTS_PER_S,
        },
      ],
      new Set(),
    );
  }

  run(): PlayFigures {
    const {scenario, events} = this;
    for (let i = 0; i < scenario.engines; i += 1) this.addEngine(0, i);
    for (const requestClass of scenario.classes) this.arriveLater(requestClass);
    for (
      let t = FIRST_LEAVE_MS;
      t < scenario.durationMs;
      t += scenario.leaveEveryMs
    ) {
      events.schedule(t, () => this.startLeaving());
    }
    const endMs = scenario.durationMs + DRAIN_MS;
    for (let t = 0; t < endMs; t += DISPATCH_EVERY_MS) {
      events.schedule(t, () => this.dispatcher.dispatchPending(t));
    }
    for (let t = 0; t < endMs; t += REPORT_EVERY_MS) {
      events.schedule(t, () => this.speeds.report(t));
    }
    while (events.step(endMs));
    return {requests: this.requests, preemptions: this.preemptions};
  }

  private addEngine(coldMs: number, zone: number): void {
    const {scenario, events} = this;
    this.engineCount += 1;
    const engine = createPlayedEngine<Running>(
      scenario,
      this.engineCount,
      zone,
      coldMs,
      events.nowMs,
    );
    this.engines.set(engine.id, engine);
    this.dispatcher.setTarget(engine.record, false, events.nowMs);
  }

  private startLeaving(): void {
    const {scenario, events} = this;
    const ready = [...this.engines.values()].filter(
      engine => !engine.isDraining && !engine.isGone,
    );
    const count = Math.max(1, Math.round(ready.length * scenario.leaveShare));
    for (let i = 0; i < count && ready.length > 1; i += 1) {
      const position = this.random.below(ready.length);
      const [engine] = ready.splice(position, 1);
      this.drain(engine!);
      events.schedule(events.nowMs + scenario.replacedAfterMs, () =>
        this.addEngine(COLD_MS, i + position),
      );
    }
  }

  private drain(engine: PlayedEngine): void {
    const {scenario, events} = this;
    engine.isDraining = true;
    const announcement = {
      ...engine.record.announcement,
      state: 'draining' as const,
      sequence: 2,
    };
    this.dispatcher.setTarget(
      {...engine.record, announcement},
      false,
      events.nowMs,
    );
    const {noticeMs, noticeSpreadMs} = scenario;
    const extraMs = noticeSpreadMs ? this.random.below(noticeSpreadMs) : 0;
    events.schedule(events.nowMs + noticeMs + extraMs, () => this.end(engine));
    this.moveNext(engine);
  }

  /** Moves the runs of a leaving engine off it, one after the other. */
  private moveNext(engine: PlayedEngine): void {
    if (engine.isGone) return;
    const {events} = this;
    const next = [...engine.runs.values()].find(
      running => running.generated > 0 && !running.isMoving,
    );
    if (next === undefined) {
      events.schedule(events.nowMs + MOVE_POLL_MS, () => this.moveNext(engine));
      return;
    }
    next.isMoving = true;
    const run = this.newRun();
    const demand = moveDemand(
      this.requester(run, next.played, [engine.id]),
      next.tokens,
      events.nowMs - next.startedAtMs,
    );
    this.acquire(demand, result => {
      if (result.kind === 'refused') {
        next.isMoving = false;
        events.schedule(events.nowMs + MOVE_RETRY_MS, () =>
          this.moveNext(engine),
        );
        return;
      }
      events.schedule(events.nowMs + MOVE_MS, () => {
        this.finishMove(engine, next, run, this.engines.get(result.target)!);
        this.moveNext(engine);
      });
    });
  }

  private finishMove(
    from: PlayedEngine,
    running: Running,
    run: string,
    to: PlayedEngine,
  ): void {
    const {nowMs} = this.events;
    const sequence = from.state.running.get(running.run);
    const isStillThere = from.runs.has(running.run) && sequence !== undefined;
    if (!isStillThere || from.isGone || to.isGone) {
      this.dispatcher.release(requestId(run), 'abandoned', nowMs);
      running.isMoving = false;
      return;
    }
    from.state.running.delete(running.run);
    from.runs.delete(running.run);
    this.dispatcher.release(requestId(running.run), 'served', nowMs);
    const moved: Running = {
      ...running,
      run,
      isMoving: false,
      sampledAtMs: undefined,
    };
    to.runs.set(run, moved);
    to.state.running.set(run, {...sequence, id: run});
    this.wake(to);
  }

  private end(engine: PlayedEngine): void {
    engine.isGone = true;
    for (const running of engine.runs.values()) {
      running.played.outcome = 'lost';
      this.dispatcher.release(
        requestId(running.run),
        'failed',
        this.events.nowMs,
      );
    }
    engine.runs.clear();
    this.engines.delete(engine.id);
    this.dispatcher.removeTarget(engine.id);
  }

  private arriveLater(requestClass: RequestClass): void {
    const {scenario, events} = this;
    const isBurst =
      events.nowMs >= scenario.burstFromMs && events.nowMs < scenario.burstToMs;
    const factor = scenario.rateFactor?.(requestClass, events.nowMs) ?? 1;
    const perS = requestClass.perS * (isBurst ? scenario.burst : 1) * factor;
    const gapS = -Math.log(uniform(this.random.below)) / perS;
    const atMs = events.nowMs + gapS * MS_PER_S;
    if (atMs > scenario.durationMs) return;
    events.schedule(atMs, () => {
      this.arrive(requestClass);
      this.arriveLater(requestClass);
    });
  }

  private arrive(requestClass: RequestClass): void {
    const played: PlayedRequest = {
      requestClass,
      workspace: drawWorkspace(this.scenario, this.random.below),
      tokens: 0,
      askedAtMs: this.events.nowMs,
      outcome: 'refused',
      firstAtMs: undefined,
      grantedAfterMs: undefined,
      attempts: 1,
      refusedAfterMs: undefined,
    };
    this.requests.push(played);
    const {tokens, outputTokens} = drawRequest(requestClass, this.random.below);
    played.tokens = tokens.promptTokens + outputTokens;
    this.ask(played, tokens, outputTokens);
  }

  private ask(
    played: PlayedRequest,
    tokens: TokenCounts,
    outputTokens: number,
  ): void {
    const {events} = this;
    const {requestClass, askedAtMs} = played;
    const run = this.newRun();
    const remainingMs = askedAtMs + requestClass.deadlineMs - events.nowMs;
    const demand = startDemand(
      this.requester(run, played, []),
      tokens,
      requestClass.objectiveMs,
      remainingMs,
    );
    this.acquire(demand, result => {
      if (result.kind === 'granted') {
        played.grantedAfterMs = events.nowMs - askedAtMs;
        events.schedule(events.nowMs + HOP_MS, () =>
          this.start(played, tokens, outputTokens, run, result.target),
        );
        return;
      }
      played.refusedAfterMs ??= events.nowMs - askedAtMs;
      if (played.attempts >= MAX_CLIENT_ATTEMPTS) return;
      played.attempts += 1;
      const leftMs = askedAtMs + requestClass.deadlineMs - events.nowMs;
      const retryAfterMs = Math.min(
        result.retryAfterMs ?? RETRY_AFTER_DEFAULT_MS,
        leftMs * RETRY_AFTER_SHARE,
      );
      events.schedule(events.nowMs + retryAfterMs, () =>
        this.ask(played, tokens, outputTokens),
      );
    });
  }

  private start(
    played: PlayedRequest,
    tokens: TokenCounts,
    outputTokens: number,
    run: string,
    target: TargetId,
  ): void {
    const engine = this.engines.get(target);
    if (engine === undefined) {
      played.outcome = 'lost';
      this.dispatcher.release(requestId(run), 'failed', this.events.nowMs);
      return;
    }
    const running: Running = {
      played,
      tokens,
      outputTokens,
      run,
      startedAtMs: this.events.nowMs,
      generated: 0,
      lastEventAtMs: undefined,
      worstGapMs: 0,
      isMoving: false,
      sentAtMs: this.events.nowMs,
      events: 0,
      sampledAtMs: undefined,
    };
    engine.runs.set(run, running);
    submit(engine.state, {
      id: run,
      promptTokens: tokens.promptTokens,
      outputTokens,
      priority: 5,
      prefix: '',
    });
    this.wake(engine);
  }

  private wake(engine: PlayedEngine): void {
    if (engine.isBusy || engine.isGone) return;
    if (engine.state.running.size + engine.state.waiting.size === 0) return;
    engine.isBusy = true;
    const result = step(engine.state);
    this.preemptions += result.preempted.length;
    const {nowMs} = this.events;
    const pace = this.speeds.paceOf(engine.id, nowMs);
    const doneAtMs = nowMs + Math.max(1, result.durationMs * pace);
    this.events.schedule(doneAtMs, () => {
      engine.isBusy = false;
      for (const {id} of result.emitted)
        this.onToken(engine, engine.runs.get(id));
      for (const {id} of result.finished) this.onFinished(engine, id);
      this.wake(engine);
    });
  }

  private onToken(engine: PlayedEngine, running: Running | undefined): void {
    if (running === undefined) return;
    const {nowMs} = this.events;
    recordToken(running, nowMs, () =>
      this.speeds.onEvent(engine, running, nowMs),
    );
  }

  private onFinished(engine: PlayedEngine, run: string): void {
    const running = engine.runs.get(run);
    if (running === undefined) return;
    engine.runs.delete(run);
    this.dispatcher.release(requestId(run), 'served', this.events.nowMs);
    recordEnd(running, this.events.nowMs, this.scenario.maxGapMs);
  }

  private newRun(): string {
    this.runCount += 1;
    return `r${this.runCount}`;
  }

  private requester(
    run: string,
    {requestClass, workspace}: PlayedRequest,
    excluded: readonly TargetId[],
  ) {
    const {runCount} = this;
    return {
      request: requestId(run),
      service: SERVICE,
      entry: instanceId(`e${runCount % ENTRY_COUNT}`),
      zone: zoneId(`z${this.zoneOf(runCount)}`),
      priority: requestClass.priority,
      workspace,
      excluded,
    };
  }

  /** A zone, drawn by its demand where that swings. */
  private zoneOf(run: number): number {
    const {zones, unevenness} = this.scenario;
    if (unevenness === undefined) return run % zones;
    const {below} = this.random;
    const {nowMs} = this.events;
    for (;;) {
      const zone = below(zones);
      if (acceptsZone(unevenness, zone / zones, nowMs, below)) return zone;
    }
  }

  private acquire(
    demand: Demand,
    onResult: (result: DispatchResult) => void,
  ): void {
    this.waiting.set(demand.request, onResult);
    this.dispatcher.acquire(demand, this.events.nowMs);
  }
}

export function playScenario(
  scenario: Scenario,
  seed: number,
  usesAdmission = false,
): PlayFigures {
  return new Play(scenario, seed, usesAdmission).run();
}
