/** The simulated engines of a replay: the fake engine's model in virtual time. */
import {
  createEngine,
  DEFAULT_ENGINE,
  kvUsed,
  sequenceCount,
  step,
  submit,
  turnCold,
  type EngineState,
  type Sequence,
} from '@samphirefield/fakes';
import type {TraceTarget} from '../trace/index.js';
import type {EventQueue} from './event-queue.js';

const REPORT_INTERVAL_MS = 1_000;
/** Age of a load report when it reaches the router. */
export const REPORT_LAG_MS = 1_000;

/** Load of one engine; `running` counts the waiting sequences too. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly kvUsedTokens: number;
}

/** One engine, with the last load report that reached the router. */
export interface SimulatedEngine {
  readonly spec: TraceTarget;
  readonly state: EngineState;
  report: LoadReport;
  isStepping: boolean;
  warmSinceMs: number;
  /** Number of submissions that put the engine above its cold slots while cold. */
  timesOverCapacity: number;
}

/** Receives the output and the load reports of all engines. */
export interface EngineListener {
  readonly onToken: (id: string, atMs: number) => void;
  readonly onFinished: (id: string, atMs: number) => void;
  readonly onReport: (engine: SimulatedEngine) => void;
}

/** Steps all engines of a trace; their load reports are spread over an interval. */
export class EngineFleet {
  readonly engines = new Map<string, SimulatedEngine>();

  constructor(
    targets: readonly TraceTarget[],
    private readonly events: EventQueue,
    private readonly listener: EngineListener,
  ) {
    targets.forEach((spec, position) => {
      const config = {
        ...DEFAULT_ENGINE,
        slots: spec.slots,
        coldSlots: spec.cold_slots,
        kvTokens: spec.kv_tokens,
      };
      const engine: SimulatedEngine = {
        spec,
        state: createEngine(config, true),
        report: {running: 0, waiting: 0, kvUsedTokens: 0},
        isStepping: false,
        warmSinceMs: -3_600_000,
        timesOverCapacity: 0,
      };
      this.engines.set(spec.target, engine);
      const firstMs = (position * REPORT_INTERVAL_MS) / targets.length;
      this.scheduleReport(engine, firstMs);
    });
  }

  submit(
    target: string,
    sequence: Omit<Sequence, 'generatedTokens' | 'prefillTokens'>,
  ): void {
    const engine = this.engines.get(target)!;
    submit(engine.state, sequence);
    const capacity = engine.state.isWarm ? Infinity : engine.spec.cold_slots;
    if (sequenceCount(engine.state) > capacity) engine.timesOverCapacity += 1;
    this.startNextStep(engine);
  }

  /** Makes an engine cold from now on. */
  turnCold(target: string): void {
    const engine = this.engines.get(target)!;
    turnCold(engine.state);
    engine.warmSinceMs = this.events.nowMs;
  }

  /** Starts the next step unless the engine is idle or already in a step. */
  private startNextStep(engine: SimulatedEngine): void {
    if (engine.isStepping || sequenceCount(engine.state) === 0) return;
    engine.isStepping = true;
    const wasWarm = engine.state.isWarm;
    const result = step(engine.state);
    const endMs = this.events.nowMs + result.durationMs;
    if (!wasWarm && engine.state.isWarm) engine.warmSinceMs = endMs;
    this.events.schedule(endMs, () => {
      engine.isStepping = false;
      for (const sequence of result.emitted)
        this.listener.onToken(sequence.id, endMs);
      for (const sequence of result.finished)
        this.listener.onFinished(sequence.id, endMs);
      this.startNextStep(engine);
    });
  }

  private scheduleReport(engine: SimulatedEngine, atMs: number): void {
    this.events.schedule(atMs, () => {
      const {state} = engine;
      const report: LoadReport = {
        running: sequenceCount(state),
        waiting: state.waiting.size,
        kvUsedTokens: kvUsed(state),
      };
      this.events.schedule(atMs + REPORT_LAG_MS, () => {
        engine.report = report;
        this.listener.onReport(engine);
      });
      this.scheduleReport(engine, atMs + REPORT_INTERVAL_MS);
    });
  }
}
