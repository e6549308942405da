/** Resumable streams under load while their targets crash one after another. */
import {expect} from 'earl';
import type {Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {serviceId, silentLogger} from '@samphirefield/core';
import {
  call,
  chunk,
  event,
  events,
  lastEventIdOf,
  STREAM_END,
  streamHead,
  type CallerResponse,
} from '@samphirefield/gateway/testing';
import {KEYS, startRoutedCluster, targetsAreKnown} from './testing/gateways.js';
import {TestTargets} from './testing/test-targets.js';

const TARGETS = 6;
const MAX_RUNS = 4;
const CRASHES = 6;
const CRASH_EVERY_MS = 400;
const CALL_EVERY_MS = 50;
const EVENTS = 40;
const EVENT_EVERY_MS = 40;

/** Sends each event in two parts, so that a crash cuts some of them. */
async function sendEvents(socket: Socket, after: number): Promise<void> {
  socket.write(streamHead());
  for (let id = after + 1; id <= EVENTS && !socket.destroyed; id += 1) {
    const text = chunk(event(id));
    const half = Math.floor(text.length / 2);
    socket.write(text.slice(0, half));
    await delay(EVENT_EVERY_MS / 2);
    if (!socket.destroyed) socket.write(text.slice(half));
    await delay(EVENT_EVERY_MS / 2);
  }
  if (!socket.destroyed) socket.write(STREAM_END);
}

async function play(t: TestContext, isEngine: boolean, isResumable: boolean) {
  const services = [serviceId('desk')];
  const {cluster, gateways} = await startRoutedCluster(
    t,
    {kind: 'stream', services, isEngine, isResumable, maxRuns: MAX_RUNS},
    silentLogger,
  );
  const runs = new Map<string, number>();
  let resumed = 0;
  const targets = await TestTargets.start({
    cluster,
    services,
    perService: TARGETS,
    isDeadly: () => false,
    comeback: 'same_id',
    onRun: (_, attempt) => runs.set(attempt, (runs.get(attempt) ?? 0) + 1),
    respond: (_, head, socket) => {
      const after = lastEventIdOf(head);
      if (after > 0) resumed += 1;
      void sendEvents(socket, after);
    },
  });
  t.after(() => targets.close());
  await targetsAreKnown(targets, gateways);
  let isOver = false;
  const responses: Array<Promise<CallerResponse>> = [];
  const callers = (async () => {
    for (let i = 0; !isOver; i += 1) {
      const {port} = gateways[i % gateways.length]!;
      const attemptId = `a${i}`;
      const headers = {key: KEYS[0]};
      responses.push(call(port, {attemptId, body: attemptId, headers}));
      await delay(CALL_EVERY_MS);
    }
  })();
  for (let i = 0; i < CRASHES; i += 1) {
    await delay(CRASH_EVERY_MS);
    targets.crash(i % TARGETS);
  }
  isOver = true;
  await callers;
  const received = await Promise.all(responses);
  return {received, runs: [...runs.values()], resumed};
}

const whole = events(1, EVENTS);
const isWhole = ({status, isComplete, body}: CallerResponse) =>
  status === 200 && isComplete && body === whole;
/** Incomplete, but with each event at most once and in order. */
const isBrokenOff = ({isComplete, body}: CallerResponse) =>
  !isComplete && body !== '' && whole.startsWith(body) && body.endsWith('\n\n');

for (const isEngine of [false, true]) {
  const kind = isEngine ? 'engines' : 'plain targets';
  test(`callers lose, miss or repeat events when ${kind} crash in a row`, async t => {
    const {received, runs, resumed} = await play(t, isEngine, true);
    const others = received.filter(response => !isWhole(response));
    const wrong = others.filter(
      response => response.status === 200 && !isBrokenOff(response),
    );
    t.diagnostic(
      `${received.length} streams, ${resumed} resumed, ${others.length} not whole`,
    );
    expect(wrong).toEqual([]);
    expect(resumed > 0).toEqual(true);
    expect(Math.max(...runs) <= MAX_RUNS).toEqual(true);
    // Runs, and suspects of the crashes that run one at a time, are limited.
    expect(others.length < received.length / 2).toEqual(true);
  });
}

test('streams whose route is not resumable run twice when targets crash', async t => {
  const {received, runs, resumed} = await play(t, true, false);
  expect(resumed).toEqual(0);
  expect(Math.max(...runs)).toEqual(1);
  const wrong = received.filter(
    response =>
      response.status === 200 && !isWhole(response) && !isBrokenOff(response),
  );
  expect(wrong).toEqual([]);
});
