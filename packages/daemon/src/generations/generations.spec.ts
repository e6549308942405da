/**
 * Generations through a daemon: complete responses, errors, broken connections,
 * target crashes.
 */
import {expect} from 'earl';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {FakeEngine} from '@samphirefield/fakes';
import {
  API_KEY,
  expectedWords,
  generationBody,
  INTERNAL_KEY,
  post,
  parseEvents,
  parseStream,
  TestDeployment,
  waitFor,
  type TestDaemon,
} from '../testing/index.js';

const CHAT = '/v1/chat/completions';
const TIMING = '[timing]\nstream_silence_ms = 700\nresume_window_ms = 3000';

let deployment: TestDeployment;
let entry: TestDaemon;
let otherEntry: TestDaemon;
const engines: FakeEngine[] = [];

async function startEngine(target: string): Promise<FakeEngine> {
  const engine = await FakeEngine.start({
    target,
    zone: 'zone-a',
    service: 'models',
    models: [{model: 'large', version: '1'}],
    daemons: deployment.internalUrls,
    key: INTERNAL_KEY,
    announceMs: 100,
    speed: 4,
  });
  engines.push(engine);
  await deployment.waitForTargets([target]);
  return engine;
}

async function stopEngines(): Promise<void> {
  await Promise.all(engines.splice(0).map(engine => engine.crash()));
}

/** Starts a streamed request and calls `onEnough` once `isEnough` accepts its text. */
async function streamUntil(
  daemon: TestDaemon,
  tokens: number,
  isEnough: (text: string) => boolean,
  onEnough: () => void | Promise<void>,
  headers: Record<string, string> = {},
  note = '',
): Promise<string> {
  const response = await request(`${daemon.callersUrl}${CHAT}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(generationBody(tokens, true, note)),
  });
  let text = '';
  let wasCalled = false;
  try {
    for await (const chunk of response.body) {
      text += String(chunk);
      if (wasCalled || !isEnough(text)) continue;
      wasCalled = true;
      await onEnough();
    }
  } catch {
    // The test broke the connection.
  }
  return text;
}

const hasEvents = (count: number) => (text: string) =>
  parseEvents(text).length >= count;

before(async () => {
  deployment = await TestDeployment.start({
    voters: 1,
    entries: 1,
    settings: TIMING,
  });
  entry = deployment.daemons[0]!;
  otherEntry = deployment.daemons[1]!;
  await startEngine('t1');
});

after(async () => {
  await stopEngines();
  await deployment.close();
});

test('a streamed response contains every token once and in order', async () => {
  const engine = engines[0]!;
  const response = await post(entry, CHAT, generationBody(60, true));
  const {words, isDone} = parseStream(response.text);
  expect(words).toEqual(expectedWords(60));
  expect(isDone).toEqual(true);
  expect(engine.startedCount).toEqual(1);
});

test('a response sent as one body joins the same tokens', async () => {
  const response = await post(entry, CHAT, generationBody(25, false));
  const body = JSON.parse(response.text) as {
    choices: Array<{message: {content: string}; finish_reason: string}>;
  };
  expect(body.choices[0]!.message.content.trim().split(' ')).toEqual(
    expectedWords(25),
  );
  expect(body.choices[0]!.finish_reason).toEqual('stop');
});

test('duplicated and reordered events reach the caller once and in order', async () => {
  engines[0]!.faults.isUnordered = true;
  const response = await post(entry, CHAT, generationBody(40, true));
  engines[0]!.faults.isUnordered = false;
  expect(parseStream(response.text).words).toEqual(expectedWords(40));
});

test('invalid requests get their status and `not_run`', async () => {
  const started = engines[0]!.startedCount;
  const cases: Array<[unknown, Record<string, string>, number]> = [
    ['{"model": ', {}, 400],
    [{model: 'large'}, {}, 400],
    [{...generationBody(1, true), model: 'none'}, {}, 404],
    [generationBody(1, true), {authorization: 'Bearer wrong'}, 401],
    [generationBody(1, true), {authorization: ''}, 401],
    [{...generationBody(1, true), max_tokens: -1}, {}, 400],
    ['x'.repeat(1_100_000), {}, 413],
    [generationBody(1, true), {'last-event-id': 'forged.token.3'}, 400],
  ];
  for (const [body, headers, status] of cases) {
    const response = await post(entry, CHAT, body, {headers});
    expect(response.status).toEqual(status);
    expect((JSON.parse(response.text) as {not_run: boolean}).not_run).toEqual(
      true,
    );
  }
  expect(engines[0]!.startedCount).toEqual(started);
});

test('a stream whose connection goes silent is resumed on a new connection', async () => {
  const engine = engines[0]!;
  const started = engine.startedCount;
  const text = await streamUntil(entry, 80, hasEvents(5), () => {
    engine.faults.hasSilentStreams = true;
    setTimeout(() => (engine.faults.hasSilentStreams = false), 300);
  });
  expect(parseStream(text).words).toEqual(expectedWords(80));
  expect(engine.startedCount).toEqual(started + 1);
});

test('a caller that lost its entry resumes at another entry', async () => {
  const controller = new AbortController();
  const response = await request(`${entry.callersUrl}${CHAT}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(generationBody(120, true)),
    signal: controller.signal,
  });
  let head = '';
  try {
    for await (const chunk of response.body) {
      head += String(chunk);
      if (hasEvents(10)(head)) controller.abort();
    }
  } catch {
    // Aborted on purpose.
  }
  const received = parseEvents(head);
  const lastEventId = received.at(-1)!.id;
  const rest = await post(otherEntry, CHAT, generationBody(120, true), {
    headers: {'last-event-id': lastEventId},
  });
  const words = [...parseStream(head).words, ...parseStream(rest.text).words];
  expect(words).toEqual(expectedWords(120));
});

test('a changed resume token is refused', async () => {
  const response = await post(entry, CHAT, generationBody(3, true));
  const id = parseEvents(response.text)[0]!.id;
  const forged = id.replace(/^./, first => (first === 'a' ? 'b' : 'a'));
  const refused = await post(otherEntry, CHAT, generationBody(3, true), {
    headers: {'last-event-id': forged},
  });
  expect(refused.status).toEqual(400);
});

test('the generation of a caller that does not return is cancelled', async () => {
  const engine = engines[0]!;
  await streamUntil(entry, 100_000, hasEvents(3), () => {
    throw new Error('disconnect');
  });
  expect(engine.engine.running.size).toEqual(1);
  await waitFor(
    'the generation is cancelled',
    () => engine.engine.running.size === 0,
  );
});

test('a slow caller delays only its own stream', async () => {
  const slow = await request(`${entry.callersUrl}${CHAT}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(generationBody(400, true)),
  });
  const quick = await post(entry, CHAT, generationBody(50, true));
  expect(parseStream(quick.text).words).toEqual(expectedWords(50));
  let text = '';
  for await (const chunk of slow.body) text += String(chunk);
  expect(parseStream(text).words).toEqual(expectedWords(400));
});

test('a target that crashes before the first token is replaced by another', async () => {
  const second = await startEngine('t2');
  const first = engines[0]!;
  await deployment.applyChange({
    kind: 'target',
    target: 't2' as never,
    isOut: true,
  });
  first.faults.isHung = true;
  const pending = post(entry, CHAT, generationBody(30, true));
  await delay(100);
  await deployment.applyChange({
    kind: 'target',
    target: 't2' as never,
    isOut: false,
  });
  await first.crash();
  const response = await pending;
  expect(parseStream(response.text).words).toEqual(expectedWords(30));
  expect(second.startedCount).toEqual(1);
});

test('a crash of the target after the first token ends the response as incomplete', async () => {
  const victim = engines[1]!;
  const started = victim.startedCount;
  const text = await streamUntil(entry, 300, hasEvents(5), () =>
    victim.crash(),
  );
  const {words, isDone, error} = parseStream(text);
  expect(isDone).toEqual(false);
  expect(words).toEqual(expectedWords(words.length));
  expect(JSON.parse(error!)).toLooseEqual({
    error: {
      message: 'the target was lost before the response was complete',
      type: 'server_error',
      param: null,
      code: 'incomplete',
    },
    not_run: false,
    outcome: 'incomplete',
  });
  expect(victim.startedCount).toEqual(started + 1);
});

test('a response sent as one body is generated again when its target crashes midway', async () => {
  const third = await startEngine('t3');
  const pending = post(entry, CHAT, generationBody(200, false));
  await waitFor(
    'the request runs on t3',
    () => third.engine.running.size === 1,
  );
  const fourth = await startEngine('t4');
  await third.crash();
  const body = JSON.parse((await pending).text) as {
    choices: Array<{message: {content: string}}>;
  };
  expect(body.choices[0]!.message.content.trim().split(' ')).toEqual(
    expectedWords(200),
  );
  expect(fourth.startedCount).toEqual(1);
});
