/**
 * Two machines of the core are replaced as planned, one after the other, the
 * second when the loss of the first has stopped counting.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {BOUNDS, Deployment} from '../lib/deployment.mjs';
import {callControl, callUntilDone} from '../lib/operator.mjs';
import {openRecord, sleep} from '../lib/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const CATCH_UP_MS = BOUNDS.CatchupS * 1_000;
/** Above what the pages ask, so that the check is no matter of milliseconds. */
const MARGIN_MS = 300;
const READ_BACK_FOR_MS = 30_000;
/** How long the new and the old machine run together. */
const OVERLAP_MS = 2_000;

const record = openRecord(dirname(fileURLToPath(import.meta.url)));
const configOf = version =>
  JSON.stringify({
    Version: version,
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
        MaxConns: 100,
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

async function play(deployment) {
  const port = deployment.controlPort;
  const core = ['a-1', 'b-1', 'c-1', 'a-2', 'b-2'].map(name =>
    deployment.addMachine(`core-${name}`, 'control', 'abc'.indexOf(name[0])),
  );
  const [first, second, third] = core;
  deployment.setSeeds([first, second, third]);
  for (const machine of core) deployment.start(machine, true);
  const put = async (machines, version, forMs) => {
    const call = {
      method: 'PUT',
      path: '/samphirefield/config',
      body: configOf(version),
    };
    const result = await callUntilDone(machines, port, call, forMs);
    record(
      `PUT config version ${version}: ${result.status ?? 'not acknowledged'} by ${result.machine?.name ?? 'nobody'} (answers ${result.statuses.join(' ')})`,
    );
    return result.status === 200;
  };
  if (!(await put(core, 3, 15_000))) return 2;
  await sleep(8_000);

  let running = core;
  /** As planned: the new machine first, then SIGTERM to the old one. */
  const startSuccessor = async (name, zoneIndex) => {
    const successor = deployment.addMachine(name, 'control', zoneIndex);
    deployment.start(successor, false);
    await sleep(OVERLAP_MS);
    return successor;
  };
  const remove = async machine => {
    record(`${machine.name} gets SIGTERM and is removed for good`);
    await deployment.end(machine, 'SIGTERM', BOUNDS.GraceS * 1_000);
    running = running.filter(item => item !== machine);
    return performance.now();
  };
  let removedAtMs = performance.now();
  if (HAS_TROUBLE) {
    running = [...running, await startSuccessor('core-c-2', 2)];
    removedAtMs = await remove(third);
  }
  await sleep(CATCH_UP_MS + MARGIN_MS - OVERLAP_MS);
  if (HAS_TROUBLE) running = [...running, await startSuccessor('core-b-3', 1)];
  else await sleep(OVERLAP_MS);
  if (!(await put(running, 7, BOUNDS.AckMs))) return 2;
  record(`${Math.round(performance.now() - removedAtMs)} ms after the removal`);
  if (HAS_TROUBLE) await remove(second);

  const backAtMs = performance.now();
  let reads = 0;
  while (performance.now() - backAtMs < READ_BACK_FOR_MS) {
    const machine = running[reads % running.length];
    reads += 1;
    const response = await callControl({
      ip: machine.ip,
      port,
      method: 'GET',
      path: '/samphirefield/config',
    });
    const version =
      response.status === 200 ? JSON.parse(response.text).Version : undefined;
    record(
      `GET config at ${machine.name}: ${response.status || 'no answer'}${version ? `, version ${version}` : ''}`,
    );
    if (version !== undefined) return version === 7 ? 0 : 1;
    await sleep(400);
  }
  await put(running, 9, BOUNDS.AckMs);
  record(
    `${reads} reads in ${READ_BACK_FOR_MS / 1_000} s, the configuration did not come`,
  );
  return 1;
}

const deployment = await Deployment.create(record);
let code = 2;
try {
  code = await play(deployment);
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  await deployment.close();
}
record(
  ['the rule held', 'the rule was broken', 'the case could not run'][code],
);
process.exit(code);
