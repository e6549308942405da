/** Records tokens, gaps and ends during a replay and computes its figures. */
import {build} from 'hdr-histogram-js';
import type {SimulatedRequest} from './router.js';

/** A gap between tokens longer than this counts as a stall; only the excess is added up. */
const STALL_MS = 250;
const MICROS_PER_MS = 1_000;

interface RequestRecord {
  readonly request: SimulatedRequest;
  lastTokenMs: number | undefined;
  firstTokenMs: number | undefined;
  tokens: number;
  isFinished: boolean;
  isShed: boolean;
}

/** The result of a replay; rates are per second of the trace. */
export interface ReplayFigures {
  readonly requests: number;
  readonly completed: number;
  readonly shed: number;
  readonly lost: number;
  /** Tokens per second of complete responses that ended within the trace. */
  readonly goodputTokensPerS: number;
  /** Tokens per second generated within the trace. */
  readonly tokensPerS: number;
  readonly stallS: number;
  readonly preemptions: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  readonly betweenTokensP99Ms: number;
  /** `firstTokenP99Ms` of arrivals while a zone is out or has just come back. */
  readonly zoneFirstTokenP99Ms: number | undefined;
  /** Number of submissions that put a cold engine above its cold slots. */
  readonly aboveBearing: number;
}

/** Records what happens to each request of a replay. */
export class Recorder {
  private readonly records = new Map<string, RequestRecord>();
  private readonly firstToken = build({highestTrackableValue: 10_000_000_000});
  private readonly zoneFirstToken = build({
    highestTrackableValue: 10_000_000_000,
  });
  private readonly between = build({highestTrackableValue: 10_000_000_000});
  private stallMs = 0;
  private completedTokens = 0;
  private tokensInTrace = 0;

  constructor(
    private readonly durationMs: number,
    /** Whether a zone is out, or has just come back, at this time. */
    private readonly isInZoneWindow: (atMs: number) => boolean,
  ) {}

  recordArrival(request: SimulatedRequest): void {
    this.records.set(request.id, {
      request,
      lastTokenMs: undefined,
      firstTokenMs: undefined,
      tokens: 0,
      isFinished: false,
      isShed: false,
    });
  }

  recordToken(id: string, atMs: number): void {
    const record = this.records.get(id)!;
    record.tokens += 1;
    if (atMs <= this.durationMs) this.tokensInTrace += 1;
    if (record.lastTokenMs === undefined) this.recordFirstToken(record, atMs);
    else this.recordGap(atMs - record.lastTokenMs);
    record.lastTokenMs = atMs;
  }

  recordFinish(id: string, atMs: number): void {
    const record = this.records.get(id)!;
    record.isFinished = true;
    if (atMs <= this.durationMs) this.completedTokens += record.tokens;
  }

  recordShed(id: string): void {
    this.records.get(id)!.isShed = true;
  }

  /** Whether every request was completed or shed. */
  get isDrained(): boolean {
    return [...this.records.values()].every(
      record => record.isFinished || record.isShed,
    );
  }

  figures(preemptions: number, aboveBearing: number): ReplayFigures {
    const records = [...this.records.values()];
    const completed = records.filter(record => record.isFinished).length;
    const shed = records.filter(record => record.isShed).length;
    const quantile = (histogram: typeof this.between, q: number) =>
      histogram.getValueAtPercentile(q) / MICROS_PER_MS;
    return {
      requests: records.length,
      completed,
      shed,
      lost: records.length - completed - shed,
      goodputTokensPerS: (this.completedTokens * 1_000) / this.durationMs,
      tokensPerS: (this.tokensInTrace * 1_000) / this.durationMs,
      stallS: this.stallMs / 1_000,
      preemptions,
      firstTokenP50Ms: quantile(this.firstToken, 50),
      firstTokenP99Ms: quantile(this.firstToken, 99),
      betweenTokensP99Ms: quantile(this.between, 99),
      zoneFirstTokenP99Ms:
        this.zoneFirstToken.totalCount > 0
          ? quantile(this.zoneFirstToken, 99)
          : undefined,
      aboveBearing,
    };
  }

  private recordFirstToken(record: RequestRecord, atMs: number): void {
    record.firstTokenMs = atMs;
    const arrivedAtMs = record.request.arrival.at_ms;
    const micros = Math.round((atMs - arrivedAtMs) * MICROS_PER_MS);
    const isInWindow = this.isInZoneWindow(arrivedAtMs);
    (isInWindow ? this.zoneFirstToken : this.firstToken).recordValue(micros);
  }

  private recordGap(gapMs: number): void {
    this.between.recordValue(Math.round(gapMs * MICROS_PER_MS));
    if (gapMs > STALL_MS) this.stallMs += gapMs - STALL_MS;
  }
}
