/** Streams that run again on another target, with targets that fail midway. */
import {expect} from 'earl';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import type {KvCacheMover} from '../moves/index.js';
import {completeResponse} from '../testing/scripted-target.js';
import {
  chunk,
  event,
  events,
  playStream,
  send,
  sendAndDie,
  sendWhole,
  STREAM_END,
  streamHead,
  unsignedStreamHead,
  type Script,
  type StreamPlay,
} from '../testing/streams.js';

const die: Script = ({socket}) => socket.destroy();
const rejected = send(
  completeResponse('', ['Not-Run: 1', 'Attempt: a1'], '503 Busy'),
);

test('cuts a resumable stream whose target dies inside an event', async t => {
  const first = streamHead('Own: 1') + chunk(events(1, 2) + 'id: 3\nda');
  const played = await playStream(t, {
    scripts: [
      ({socket}) => socket.end(first),
      sendAndDie(events(3, 4) + 'id'),
      sendWhole(5, 6),
    ],
  });
  expect(played.body).toEqual(events(1, 6));
  expect(played.isComplete).toEqual(true);
  expect(played.headers['own']).toEqual('1');
  expect(played.lastIds).toEqual([0, 2, 4]);
  expect(played.held).toEqual(0);
});

const wholeStreams: Record<string, StreamPlay> = {
  'cuts a stream whose target left out an event': {
    scripts: [sendAndDie(event(1) + event(3)), sendWhole(2, 3)],
  },
  'completes a stream inside an event': {
    scripts: [
      send(streamHead() + chunk(event(1) + 'id: 2\nda') + STREAM_END),
      sendWhole(2, 3),
    ],
  },
  'loses a stream whose target dies before its first event': {
    scripts: [die, ({socket}) => socket.end(streamHead()), sendWhole(1, 3)],
  },
  'counts a rejection by the next target as a run': {
    scripts: [sendAndDie(event(1)), rejected, sendWhole(2, 3)],
    route: {maxRuns: 2},
  },
  'cuts a stream whose earlier events took many attempts': {
    scripts: [
      rejected,
      sendAndDie(event(1)),
      rejected,
      rejected,
      sendWhole(2, 3),
    ],
  },
};

for (const [title, play] of Object.entries(wholeStreams)) {
  test(title, async t => {
    const {body, isComplete, runs, held} = await playStream(t, play);
    expect(body).toEqual(events(1, 3));
    expect(isComplete).toEqual(true);
    expect(runs).toEqual(runs.map(() => 1));
    expect(held).toEqual(0);
  });
}

const unsigned = send(unsignedStreamHead() + chunk(event(2)) + STREAM_END);
const failed = send(completeResponse('broken', [], '500 Failed'));
const missing = send(completeResponse('missing', [], '404 Missing'));
const foreign = send(completeResponse('', ['Not-Run: 1'], '503 Busy'));
const brokenOff: Record<string, StreamPlay> = {
  'runs a stream more often than its route allows': {
    scripts: [sendAndDie(event(1)), die, sendWhole(2, 3)],
    route: {maxRuns: 2},
  },
  'runs a stream more often than the budget allows': {
    scripts: [sendAndDie(event(1)), die, sendWhole(2, 3)],
    retries: 1,
  },
  'forwards an unsigned stream of the next target': {
    scripts: [sendAndDie(event(1)), unsigned, sendWhole(2, 3)],
    route: {maxRuns: 2},
  },
  'forwards a failure of the next target into the stream': {
    scripts: [sendAndDie(event(1)), failed, missing, foreign, sendWhole(2, 3)],
    route: {maxRuns: 4},
  },
  'runs a stream again whose route is not resumable': {
    scripts: [sendAndDie(event(1)), sendWhole(2, 3)],
    route: {isResumable: false},
    headers: {'last-event-id': '7'},
  },
};

for (const [title, play] of Object.entries(brokenOff)) {
  test(title, async t => {
    const {body, isComplete, runs, lastIds, held} = await playStream(t, play);
    expect([body, isComplete]).toEqual([event(1), false]);
    // Every target ran it but the last, which would have sent the rest.
    expect(runs).toEqual(runs.map((_, i) => (i < runs.length - 1 ? 1 : 0)));
    expect(lastIds[0]).toEqual(0);
    expect(held).toEqual(0);
  });
}

test('sends events that the caller has, or loses its place in the stream', async t => {
  const scripts = [die, sendAndDie(events(6, 9)), sendWhole(10, 11)];
  const headers = {'last-event-id': '7'};
  const {body, lastIds} = await playStream(t, {scripts, headers});
  expect(body).toEqual(events(8, 11));
  expect(lastIds).toEqual([7, 7, 9]);
});

test('leaves a started stream open when no target is left', async t => {
  const scripts = [sendAndDie(event(1))];
  const {body, isComplete} = await playStream(t, {scripts});
  expect([body, isComplete]).toEqual([event(1), false]);
});

test('says not run of a stream that may have run', async t => {
  for (const scripts of [[die], [die, rejected]])
    expect((await playStream(t, {scripts})).status).toEqual(502);
  const {status} = await playStream(t, {scripts: [rejected]});
  expect(status).toEqual(503);
});

test('runs a stream again that cannot reach its deadline any more', async t => {
  const late: Script = ({socket}) => {
    setTimeout(() => socket.write(streamHead() + chunk(event(1))), 400);
    setTimeout(() => socket.destroy(), 500);
  };
  const scripts = [late, sendWhole(2, 3)];
  const headers = {'deadline-ms': '600'};
  const {isComplete, runs} = await playStream(t, {scripts, headers});
  expect(isComplete).toEqual(false);
  expect(runs).toEqual([1, 0]);
});

test('continues a stream after an event without a number', async t => {
  const text = event(1) + 'data: end\n\n';
  const scripts = [sendAndDie(text), sendWhole(2, 3)];
  const {body, runs} = await playStream(t, {scripts});
  expect([body, ...runs]).toEqual([text, 1, 0]);
});

test('resumes a stream for a caller that has left', async t => {
  let runs = 0;
  const first: Script = ({socket}) => {
    socket.write(streamHead() + chunk(event(1)));
    setTimeout(() => socket.destroy(), 60);
  };
  const scripts = [first, () => (runs += 1)];
  const onData = (_leave: unknown, disconnect: () => void) => disconnect();
  await playStream(t, {scripts, onData}).catch(() => undefined);
  await delay(150);
  expect(runs).toEqual(0);
});

test('runs a stream again whose KV cache can be recovered', async t => {
  const mover: KvCacheMover = {
    copy: () => Promise.resolve({kind: 'copied', handle: 'h1'}),
    drop: () => undefined,
  };
  const heads: string[] = [];
  const rest: Script = request => {
    heads.push(request.head);
    sendWhole(2, 3)(request);
  };
  const scripts = [sendAndDie(event(1)), rest];
  // A budget without retries refuses a second run, and no recovery.
  const {body} = await playStream(t, {scripts, mover, retries: 0});
  expect(body).toEqual(events(1, 3));
  expect(heads[0]!.includes('Resume: h1')).toEqual(true);
});

test('cuts a stream whose recovered run its next target loses', async t => {
  let copies = 0;
  const mover: KvCacheMover = {
    copy: () => {
      copies += 1;
      return Promise.resolve(
        copies === 1 ? {kind: 'copied', handle: 'h1'} : {kind: 'no_run'},
      );
    },
    drop: () => undefined,
  };
  const scripts = [sendAndDie(event(1)), rejected, sendWhole(2, 3)];
  const {body, lastIds} = await playStream(t, {scripts, mover});
  expect(body).toEqual(events(1, 3));
  expect(lastIds).toEqual([0, 1, 1]);
});
