/** See claim.txt. */
import {readdirSync, rmSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Cluster, createRecord, DEPLOYMENT} from '../lib-2/cluster.mjs';
import {call, configuration, order} from '../lib-2/parts.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const CATCHUP_MS = 4_000;
const RECOVER_MS = 12_000;
/** Between the loss of one machine and the planned stop of another. */
const GAP_MS = Number(process.env.GAP_MS ?? 200);
const DOWN_MS = 1_000;
/** The operator reads back for ContactMs at least; here much longer. */
const READ_MS = 15_000;
const VERSION = 7;

const record = createRecord(join(HERE, 'record.txt'));
const cluster = new Cluster(record);

/** The operator reads the configuration at one daemon after another. */
async function readBack(daemons, untilMs) {
  const counts = new Map();
  let version;
  for (
    let i = 0;
    performance.now() < untilMs && version === undefined;
    i += 1
  ) {
    const daemon = daemons[i % daemons.length];
    const {status, text} = await call({
      host: daemon.host,
      port: cluster.ports.control,
      method: 'GET',
      path: '/samphirefield/config',
    });
    counts.set(status, (counts.get(status) ?? 0) + 1);
    record.note('operator_reads', {from: daemon.name, status});
    if (status === 200) version = JSON.parse(text).Version;
    await delay(200);
  }
  return {version, counts: JSON.stringify([...counts])};
}

async function play() {
  await cluster.start();
  await order(
    cluster,
    record,
    'PUT',
    '/samphirefield/config',
    configuration(VERSION),
  );
  await cluster.ready();
  await delay(DEPLOYMENT.contactMs);
  // The successor of the machine that is removed later: the same role, a new
  // address and an empty disk.
  const successor = cluster.launch(
    'control',
    'core-6',
    `${cluster.net}.6`,
    'z-a',
    false,
  );
  cluster.controls.push(successor);
  await delay(CATCHUP_MS + 3_000);
  const voters = [];
  for (const control of cluster.controls)
    if ((await cluster.metric(control, 'is_voter')) === 1) voters.push(control);
  record.note('voters', {names: voters.map(({name}) => name)});
  const leader = await cluster.leader();
  const others = voters.filter(control => control !== leader);
  const lost = process.env.LOST === 'last' ? others.at(-1) : others[0];
  record.note('leader', {name: leader.name});
  if (lost === undefined || !voters.includes(leader)) return 2;
  if (hasTrouble) {
    cluster.signal(lost, 'SIGKILL');
    setTimeout(() => {
      const folder = join(cluster.folder, lost.name);
      for (const name of readdirSync(folder))
        rmSync(join(folder, name), {recursive: true});
      record.note('disk_lost', {name: lost.name});
      cluster.restart(lost);
    }, DOWN_MS);
    await delay(GAP_MS);
  }
  // The planned removal of a machine whose successor has caught up.
  cluster.controls.splice(cluster.controls.indexOf(leader), 1);
  cluster.signal(leader, 'SIGTERM');
  setTimeout(
    () => cluster.signal(leader, 'SIGKILL'),
    DEPLOYMENT.graceS * 1_000,
  );
  await delay(RECOVER_MS + CATCHUP_MS);
  const {version, counts} = await readBack(
    cluster.controls,
    performance.now() + READ_MS,
  );
  record.note('verdict', {
    acknowledged: VERSION,
    read_back: version ?? 'nothing',
    statuses: counts,
  });
  return version === VERSION ? 0 : 1;
}

let code = 2;
try {
  code = await play();
} catch (error) {
  record.note('error', {reason: error.stack});
}
if (process.env.LOGS)
  for (const {name, output} of cluster.processes)
    for (const line of output.split('\n'))
      if (
        /membership_changed|leadership_taken|left_group|stopping|group_status/.test(
          line,
        )
      )
        console.log(name, line.slice(0, 260));
await cluster.stop();
record.note('exit', {code});
record.save();
process.exit(code);
