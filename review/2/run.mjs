/**
 * Nine machines of the core, of which five vote. The seeds are exchanged for other
 * machines that serve control; later all processes are killed and come back.
 */
import {Agent, request} from 'node:http';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Deployment} from '../lib/deployment.mjs';
import {callControl, callUntilDone} from '../lib/operator.mjs';
import {openRecord, sleep} from '../lib/record.mjs';
import {Worker} from '../lib/worker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Of the page of the grown deployments. */
const RECOVER_MS = 15_000;
const LEAD_MS = 16_000;
const DOWN_MS = 1_000;
const TRAFFIC_MS = 8_000;
const REQUEST_EVERY_MS = 50;
const MIN_SERVED_SHARE = 0.25;

const record = openRecord(dirname(fileURLToPath(import.meta.url)));
const CONFIG = JSON.stringify({
  Version: 3,
  Routes: [
    {
      Name: 'r-1',
      Host: 'a.example',
      PathPrefix: '/x/',
      Kind: 'safe',
      TimeoutMs: 800,
      SloMs: 150,
      Priority: 1,
      Service: 's-1',
      Attempts: 2,
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

/** The metrics that the deploy file names; chooses the new seeds, judges nothing. */
async function isVoter({ip}) {
  const {text} = await callControl({
    ip,
    port: 9464,
    method: 'GET',
    path: '/metrics',
  });
  return /^is_voter 1$/m.test(text) || /is_voter(\{[^}]*\})? 1$/m.test(text);
}

function callEntry(entry, port, attempt) {
  return new Promise(resolve => {
    const req = request(
      {
        host: entry.ip,
        port,
        method: 'GET',
        path: '/x/status',
        agent: new Agent(),
        headers: {
          host: 'a.example',
          'x-samphirefield-attempt-id': attempt,
          'x-samphirefield-deadline-ms': 1_500,
        },
      },
      res => {
        res.resume();
        res.on('end', () => resolve(res.statusCode));
        res.on('error', () => resolve(0));
      },
    );
    req.setTimeout(1_500, () => req.destroy());
    req.on('error', () => resolve(0));
    req.end();
  });
}

async function runTraffic(entries, port, name) {
  const calls = [];
  const untilMs = performance.now() + TRAFFIC_MS;
  for (let n = 0; performance.now() < untilMs; n += 1) {
    calls.push(callEntry(entries[n % entries.length], port, `${name}-${n}`));
    await sleep(REQUEST_EVERY_MS);
  }
  const statuses = await Promise.all(calls);
  const counts = new Map();
  for (const status of statuses)
    counts.set(status, (counts.get(status) ?? 0) + 1);
  const served = counts.get(200) ?? 0;
  const text = [...counts]
    .map(([status, count]) => `${status || 'none'}: ${count}`)
    .join(', ');
  record(`${name}: ${statuses.length} requests, ${served} served (${text})`);
  return served / statuses.length;
}

async function play(deployment, worker) {
  deployment.tolerance = 2;
  const core = Array.from({length: 9}, (_, i) =>
    deployment.addMachine(
      `core-${'abcd'[i % 4]}-${Math.floor(i / 4) + 1}`,
      'control',
      i % 4,
    ),
  );
  const entries = [0, 1, 2].map(zone =>
    deployment.addMachine(`edge-${'abc'[zone]}-1`, 'entry', zone),
  );
  const all = [...core, ...entries];
  deployment.setSeeds(core.slice(0, 3));
  for (const machine of all) deployment.start(machine, true);
  const call = {method: 'PUT', path: '/samphirefield/config', body: CONFIG};
  const put = await callUntilDone(core, deployment.controlPort, call, 15_000);
  if (put.status !== 200) return 2;
  await worker.listen();
  worker.announceTo(core, deployment.controlPort);
  await sleep(LEAD_MS);
  const before = await runTraffic(entries, deployment.frontPort, 'before');
  if (before < MIN_SERVED_SHARE) return 2;

  if (HAS_TROUBLE) {
    const voting = await Promise.all(core.map(isVoter));
    const others = core.filter((_, i) => !voting[i]).slice(0, 3);
    if (others.length < 3) return 2;
    deployment.setSeeds(others);
    record(`the seeds are now ${others.map(({name}) => name).join(', ')}`);
    for (const machine of all) {
      deployment.writeSettings(machine, false);
      machine.child.kill('SIGHUP');
    }
    await sleep(5_000);
    await Promise.all(all.map(machine => deployment.end(machine, 'SIGKILL')));
    await sleep(DOWN_MS);
    for (const machine of all) deployment.start(machine, false);
  }
  await sleep(RECOVER_MS);
  const after = await runTraffic(entries, deployment.frontPort, 'after');
  for (const {name, ip} of entries) {
    const {status} = await callControl({
      ip,
      port: deployment.readyPort,
      method: 'GET',
      path: '/samphirefield/readyz',
    });
    record(`${name} is ready: ${status}`);
  }
  const {statuses, status} = await callUntilDone(
    core,
    deployment.controlPort,
    {method: 'GET', path: '/samphirefield/config'},
    5_000,
  );
  record(
    `GET config: ${status ?? 'no configuration'} (answers ${statuses.join(' ')})`,
  );
  return after < MIN_SERVED_SHARE ? 1 : 0;
}

const deployment = await Deployment.create(record);
const worker = new Worker({
  id: 'w-1',
  service: 's-1',
  ip: `${deployment.network}.101`,
  zone: 'zone-a',
  workMs: 30,
  slots: 30,
});
let code = 2;
try {
  code = await play(deployment, worker);
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  worker.close();
  await deployment.close();
}
record(
  ['the rule held', 'the rule was broken', 'the case could not run'][code],
);
process.exit(code);
