/**
 * A small simulation of a model engine: continuous batching with a limited KV
 * cache, preemption, a prefix cache, priorities and a cold start. It uses no
 * clock: each step returns its duration.
 */

export interface EngineConfig {
  readonly slots: number;
  readonly coldSlots: number;
  readonly kvTokens: number;
  /** Fixed part of the duration of each step. */
  readonly stepBaseMs: number;
  /** Added to the duration of a step per running sequence. */
  readonly stepPerSequenceMs: number;
  readonly prefillMsPerToken: number;
  /** Maximum number of tokens that one step prefills. */
  readonly prefillChunkTokens: number;
  /** Number of steps after which a cold engine is warm. */
  readonly warmUpSteps: number;
  readonly coldSlowdown: number;
  readonly maxCachedPrefixes: number;
}

export const DEFAULT_ENGINE: EngineConfig = {
  slots: 16,
  coldSlots: 2,
  kvTokens: 24_000,
  stepBaseMs: 14,
  stepPerSequenceMs: 0.7,
  prefillMsPerToken: 0.02,
  prefillChunkTokens: 1_024,
  warmUpSteps: 300,
  coldSlowdown: 3,
  maxCachedPrefixes: 64,
};

export interface Sequence {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly prefix: string;
  generatedTokens: number;
  /** Tokens that remain to be prefilled before the sequence can generate. */
  prefillTokens: number;
}

export interface StepResult {
  readonly durationMs: number;
  readonly emitted: readonly Sequence[];
  readonly finished: readonly Sequence[];
  readonly preempted: readonly Sequence[];
}

export interface CacheChange {
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

export interface EngineState {
  readonly config: EngineConfig;
  readonly running: Map<string, Sequence>;
  readonly waiting: Map<string, Sequence>;
  readonly cachedPrefixes: Set<string>;
  cacheChanges: CacheChange[];
  warmSteps: number;
  isWarm: boolean;
  preemptions: number;
  /** Maximum number of concurrent sequences while the engine was cold. */
  mostWhileCold: number;
}

export function createEngine(
  config: EngineConfig,
  isWarm: boolean,
): EngineState {
  return {
    config,
    running: new Map(),
    waiting: new Map(),
    cachedPrefixes: new Set(),
    cacheChanges: [],
    warmSteps: 0,
    isWarm,
    preemptions: 0,
    mostWhileCold: 0,
  };
}

export function sequenceCount(engine: EngineState): number {
  return engine.running.size + engine.waiting.size;
}

export function kvUsed(engine: EngineState): number {
  let used = 0;
  for (const sequence of engine.running.values()) {
    used += sequence.promptTokens + sequence.generatedTokens;
  }
  return used;
}

function recordColdLoad(engine: EngineState): void {
  if (engine.isWarm) return;
  engine.mostWhileCold = Math.max(engine.mostWhileCold, sequenceCount(engine));
}

export function submit(
  engine: EngineState,
  sequence: Omit<Sequence, 'generatedTokens' | 'prefillTokens'>,
): void {
  engine.waiting.set(sequence.id, {
    ...sequence,
    generatedTokens: 0,
    prefillTokens: 0,
  });
  recordColdLoad(engine);
}

export function cancel(engine: EngineState, id: string): boolean {
  return engine.running.delete(id) || engine.waiting.delete(id);
}

export function turnCold(engine: EngineState): void {
  engine.isWarm = false;
  engine.warmSteps = 0;
  engine.cachedPrefixes.clear();
  recordColdLoad(engine);
}

function nextWaiting(engine: EngineState): Sequence | undefined {
  let best: Sequence | undefined;
  for (const sequence of engine.waiting.values()) {
    if (!best || sequence.priority < best.priority) best = sequence;
  }
  return best;
}

function markPrefixUsed(engine: EngineState, prefix: string): boolean {
  if (prefix === '') return false;
  const isCached = engine.cachedPrefixes.delete(prefix);
  engine.cachedPrefixes.add(prefix);
  if (!isCached) engine.cacheChanges.push({kind: 'stored', prefix});
  if (engine.cachedPrefixes.size > engine.config.maxCachedPrefixes) {
    const oldest = engine.cachedPrefixes.values().next().value!;
    engine.cachedPrefixes.delete(oldest);
    engine.cacheChanges.push({kind: 'evicted', prefix: oldest});
  }
  return isCached;
}

/**
 * Admits waiting sequences while slots and KV cache last. Output lengths are
 * ignored, because a real engine does not know them either.
 */
function admitWaiting(engine: EngineState): void {
  const CACHED_PREFILL_SHARE = 0.2;
  for (;;) {
    const next = nextWaiting(engine);
    if (!next || engine.running.size >= engine.config.slots) return;
    const requiredTokens = next.promptTokens + next.generatedTokens;
    if (kvUsed(engine) + requiredTokens > engine.config.kvTokens) return;
    engine.waiting.delete(next.id);
    const isCached = markPrefixUsed(engine, next.prefix);
    const prompt = next.promptTokens * (isCached ? CACHED_PREFILL_SHARE : 1);
    next.prefillTokens = Math.ceil(prompt) + next.generatedTokens;
    engine.running.set(next.id, next);
  }
}

/** Preempts the newest sequences of the lowest priority until the others fit. */
function preemptOverflow(engine: EngineState): Sequence[] {
  const preempted: Sequence[] = [];
  let used = kvUsed(engine);
  while (used > engine.config.kvTokens && engine.running.size > 1) {
    let victim: Sequence | undefined;
    for (const sequence of engine.running.values()) {
      if (!victim || sequence.priority >= victim.priority) victim = sequence;
    }
    engine.running.delete(victim!.id);
    engine.waiting.set(victim!.id, victim!);
    used -= victim!.promptTokens + victim!.generatedTokens;
    preempted.push(victim!);
  }
  engine.preemptions += preempted.length;
  return preempted;
}

function prefill(engine: EngineState): number {
  let budget = engine.config.prefillChunkTokens;
  for (const sequence of engine.running.values()) {
    const prefilled = Math.min(budget, sequence.prefillTokens);
    sequence.prefillTokens -= prefilled;
    budget -= prefilled;
    if (budget === 0) break;
  }
  return engine.config.prefillChunkTokens - budget;
}

function warmUp(engine: EngineState): void {
  if (engine.isWarm) return;
  engine.warmSteps += 1;
  if (engine.warmSteps >= engine.config.warmUpSteps) engine.isWarm = true;
}

/** Runs one step of the batch: one token for every sequence that is prefilled. */
export function step(engine: EngineState): StepResult {
  const {config} = engine;
  admitWaiting(engine);
  const prefilled = prefill(engine);
  const emitted: Sequence[] = [];
  const finished: Sequence[] = [];
  for (const sequence of [...engine.running.values()]) {
    if (sequence.prefillTokens > 0) continue;
    sequence.generatedTokens += 1;
    emitted.push(sequence);
    if (sequence.generatedTokens < sequence.outputTokens) continue;
    finished.push(sequence);
    engine.running.delete(sequence.id);
  }
  const preempted = preemptOverflow(engine);
  const batch = engine.running.size + finished.length;
  const warmDurationMs =
    config.stepBaseMs +
    batch * config.stepPerSequenceMs +
    prefilled * config.prefillMsPerToken;
  const durationMs = engine.isWarm
    ? warmDurationMs
    : warmDurationMs * config.coldSlowdown;
  if (batch > 0) warmUp(engine);
  return {durationMs, emitted, finished, preempted};
}

export function takeCacheChanges(engine: EngineState): readonly CacheChange[] {
  const changes = engine.cacheChanges;
  engine.cacheChanges = [];
  return changes;
}
