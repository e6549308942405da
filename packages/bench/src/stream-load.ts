/**
 * Sends streaming requests at a steady rate and prints one JSON line with the
 * quantiles of the time to the first token and of the time between tokens.
 */
import {build} from 'hdr-histogram-js';
import {Agent, setGlobalDispatcher, request} from 'undici';
import {setTimeout as delay} from 'node:timers/promises';

/** The printed line; `failures` are failed requests and incomplete streams. */
export interface LoadReport {
  readonly requests: number;
  readonly failures: number;
  readonly tokens: number;
  readonly seconds: number;
  readonly firstTokenMs: Quantiles;
  readonly betweenTokensMs: Quantiles;
}

export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

const [url, key, rateText, tokensText, secondsText] = process.argv.slice(2);
const rate = Number(rateText);
const tokens = Number(tokensText);
const seconds = Number(secondsText);
const MICROS_PER_MS = 1_000;

setGlobalDispatcher(
  new Agent({connections: 4_096, headersTimeout: 60_000, bodyTimeout: 60_000}),
);
const firstToken = build({highestTrackableValue: 100_000_000});
const between = build({highestTrackableValue: 100_000_000});
let receivedTokens = 0;
let failures = 0;
let requests = 0;

const EVENT_START = Buffer.from('\ndata: ');

/** Counts the events of a stream whose chunks may end within an event. */
class EventCounter {
  count = 0;
  private tail: Buffer = Buffer.alloc(0);

  add(chunk: Buffer): void {
    const bytes =
      this.tail.length > 0 ? Buffer.concat([this.tail, chunk]) : chunk;
    let index = bytes.indexOf(EVENT_START);
    let countedBytes = 0;
    while (index >= 0) {
      this.count += 1;
      countedBytes = index + EVENT_START.length;
      index = bytes.indexOf(EVENT_START, countedBytes);
    }
    const tailStart = Math.max(
      countedBytes,
      bytes.length - EVENT_START.length + 1,
    );
    this.tail = bytes.subarray(tailStart);
  }
}

async function sendRequest(): Promise<void> {
  requests += 1;
  const startedAt = performance.now();
  let lastAt = 0;
  const events = new EventCounter();
  try {
    const response = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: 'large',
        stream: true,
        max_tokens: tokens,
        messages: [{role: 'user', content: 'bench'}],
      }),
    });
    for await (const chunk of response.body) {
      const nowAt = performance.now();
      const elapsedMs = nowAt - (lastAt === 0 ? startedAt : lastAt);
      (lastAt === 0 ? firstToken : between).recordValue(
        Math.round(elapsedMs * MICROS_PER_MS),
      );
      lastAt = nowAt;
      events.add(chunk as Buffer);
    }
  } catch {
    failures += 1;
    return;
  }
  // A complete stream has one event per token and the final [DONE] event.
  if (events.count !== tokens + 1) failures += 1;
  receivedTokens += events.count - 1;
}

const quantiles = (histogram: ReturnType<typeof build>): Quantiles => ({
  p50: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
  p95: histogram.getValueAtPercentile(95) / MICROS_PER_MS,
  p99: histogram.getValueAtPercentile(99) / MICROS_PER_MS,
});

async function main(): Promise<void> {
  const startedAt = performance.now();
  const inFlight: Array<Promise<void>> = [];
  const total = Math.round(rate * seconds);
  for (let number = 0; number < total; number += 1) {
    const dueMs = (number * 1_000) / rate - (performance.now() - startedAt);
    if (dueMs > 1) await delay(dueMs);
    inFlight.push(sendRequest());
  }
  await Promise.all(inFlight);
  const report: LoadReport = {
    requests,
    failures,
    tokens: receivedTokens,
    seconds: (performance.now() - startedAt) / 1_000,
    firstTokenMs: quantiles(firstToken),
    betweenTokensMs: quantiles(between),
  };
  process.stdout.write(`${JSON.stringify(report)}\n`);
  process.exit(0);
}

await main();
