/**
 * One of two workers spoils one byte in the head of a few answers. Counted are
 * requests on kept connections that the other, sound worker ran and whose
 * connection was closed without an answer.
 */
import {Agent, request} from 'node:http';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Deployment} from '../lib/deployment.mjs';
import {callControl, callUntilDone} from '../lib/operator.mjs';
import {openRecord, sleep} from '../lib/record.mjs';
import {Worker} from '../lib/worker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** The largest dose of `garble` in the site: 0.03 of the answers, for 5.5 s. */
const SPOILED_SHARE = 0.03;
const TROUBLE_MS = 5_500;
const WORK_MS = 300;
const TIMEOUT_MS = 3_000;
const CLIENTS_PER_ENTRY = 10;
const MAX_LOST = 3;

const record = openRecord(dirname(fileURLToPath(import.meta.url)));
const CONFIG = JSON.stringify({
  Version: 3,
  Routes: [
    {
      Name: 'r-1',
      Host: 'a.example',
      PathPrefix: '/x/',
      Kind: 'unsafe',
      TimeoutMs: TIMEOUT_MS,
      SloMs: 1000,
      Priority: 1,
      Service: 's-1',
      Attempts: 1,
      Public: true,
      Sticky: false,
      Resumable: false,
      GapTargetMs: 0,
    },
  ],
  Services: [
    {
      Name: 's-1',
      HealthPath: '/healthz',
      MaxConns: 200,
      Protocol: 'h1',
      Tls: false,
      ColdS: 0,
      ColdPerS: 0,
    },
  ],
  Limits: {
    MaxHeaderBytes: 16384,
    MaxBodyBytes: 4194304,
    HeaderTimeoutMs: 3000,
    IdleTimeoutMs: 15000,
  },
  Tenants: [],
});

let isSpoiling = false;
let spoiledCount = 0;
let answerCount = 0;
/** Replaces one byte of the value of X-Served-By: bytes that are no response. */
function spoil(answer, attempt) {
  answerCount += 1;
  const everyNth = Math.round(1 / SPOILED_SHARE);
  if (!isSpoiling || answerCount % (everyNth + 1) !== 0) return answer;
  spoiledCount += 1;
  record(`worker w-2 spoils its answer to ${attempt}`);
  const name = 'X-Served-By: ';
  answer[answer.indexOf(name) + name.length] = 0x01;
  return answer;
}

/** One client: one request after the other on a kept connection. */
async function runClient(entry, port, name, state) {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  for (let n = 1; !state.isOver; n += 1) {
    const attempt = `${name}-${n}`;
    const end = await new Promise(resolve => {
      const req = request(
        {
          host: entry.ip,
          port,
          method: 'POST',
          path: '/x/order',
          agent,
          headers: {
            host: 'a.example',
            'x-samphirefield-attempt-id': attempt,
            'x-samphirefield-deadline-ms': TIMEOUT_MS,
            'content-length': 0,
          },
        },
        res => {
          res.resume();
          res.on('end', () => resolve({status: res.statusCode}));
          res.on('error', () =>
            resolve({status: 0, reason: 'cut in its body'}),
          );
        },
      );
      req.on('error', error =>
        resolve({status: 0, reason: error.code, isKept: req.reusedSocket}),
      );
      req.end();
    });
    state.ends.push({attempt, entry: entry.name, ...end});
    if (end.status !== 200) {
      record(
        `${attempt} at ${entry.name}: ${end.status || `closed without an answer (${end.reason})`}`,
      );
      await sleep(100);
    }
  }
  agent.destroy();
}

async function play(deployment, workers) {
  const core = ['a-1', 'b-1', 'c-1', 'a-2', 'b-2'].map(name =>
    deployment.addMachine(`core-${name}`, 'control', 'abc'.indexOf(name[0])),
  );
  const entries = [0, 1, 2].map(zone =>
    deployment.addMachine(`edge-${'abc'[zone]}-1`, 'entry', zone),
  );
  deployment.setSeeds(core.slice(0, 3));
  for (const machine of [...core, ...entries]) deployment.start(machine, true);
  const call = {method: 'PUT', path: '/samphirefield/config', body: CONFIG};
  const put = await callUntilDone(core, deployment.controlPort, call, 15_000);
  if (put.status !== 200) return 2;
  for (const worker of workers) {
    await worker.listen();
    worker.announceTo(core, deployment.controlPort);
  }
  for (const {ip} of entries) {
    const ready = {
      ip,
      port: deployment.readyPort,
      method: 'GET',
      path: '/samphirefield/readyz',
    };
    while ((await callControl(ready)).status !== 200) await sleep(200);
  }
  await sleep(3_000);
  const state = {isOver: false, ends: []};
  const clients = entries.flatMap(entry =>
    Array.from({length: CLIENTS_PER_ENTRY}, (_, i) =>
      runClient(entry, deployment.frontPort, `${entry.name}-c${i}`, state),
    ),
  );
  await sleep(4_000);
  isSpoiling = HAS_TROUBLE;
  await sleep(TROUBLE_MS);
  isSpoiling = false;
  await sleep(4_000);
  state.isOver = true;
  await Promise.all(clients);

  const [sound] = workers;
  const ranAtSound = new Set(sound.ran);
  const lost = state.ends.filter(
    ({attempt, status, isKept}) =>
      status === 0 && isKept && ranAtSound.has(attempt),
  );
  const exits = entries
    .map(({name, exits: list}) => `${name} ${list.length}`)
    .join(', ');
  const served = state.ends.filter(({status}) => status === 200).length;
  record(
    `${state.ends.length} requests, ${served} answered 200, ${spoiledCount} answers spoiled`,
  );
  record(`processes that ended by themselves: ${exits}`);
  record(
    `${lost.length} requests on kept connections that ${sound.id}, which is sound, ran and whose connection was closed without an answer: ${lost.map(({attempt}) => attempt).join(' ')}`,
  );
  if (served === 0) return 2;
  return lost.length > MAX_LOST ? 1 : 0;
}

const deployment = await Deployment.create(record);
const worker = (id, address, more) =>
  new Worker({
    id,
    service: 's-1',
    ip: `${deployment.network}.${address}`,
    zone: 'zone-a',
    workMs: WORK_MS,
    slots: 30,
    ...more,
  });
const workers = [worker('w-1', 101, {}), worker('w-2', 102, {spoil})];
let code = 2;
try {
  code = await play(deployment, workers);
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  for (const item of workers) item.close();
  await deployment.close();
}
record(
  ['the rule held', 'the rule was broken', 'the case could not run'][code],
);
process.exit(code);
