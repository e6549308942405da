/**
 * Starts a deployment on loopback: three voters and two entries that do not vote,
 * over three zones, with fake targets of two deployments. Each is a process.
 *
 *   npm run demo              keeps serving until Ctrl-C
 *   npm run demo -- --once    exits 0 if every kind of response was complete
 *   npm run demo -- --json    prints one JSON line when the deployment is ready
 */
import {spawn} from 'node:child_process';
import {createHash, randomBytes, randomUUID} from 'node:crypto';
import {
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const isOnce = process.argv.includes('--once');
const isJson = process.argv.includes('--json');
const READY_TIMEOUT_MS = 60_000;
const daemonBin = join(root, 'packages/daemon/dist/bin.js');
const cliBin = join(root, 'packages/cli/dist/bin.js');
const targetBin = join(root, 'packages/fakes/dist/bin.js');

const children = [];
const log = text => process.stderr.write(`${text}\n`);
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const createSecret = () => randomBytes(16).toString('hex');
const keys = {
  cluster: createSecret(),
  targets: createSecret(),
  operators: createSecret(),
};
const workspaces = {
  'estate-north': `key-${createSecret()}`,
  'broker-west': `key-${createSecret()}`,
};

/** Returns ports of 127.0.0.1 that were free at the time of the call. */
async function freePorts(count) {
  const servers = await Promise.all(
    Array.from(
      {length: count},
      () =>
        new Promise(resolve => {
          const server = createServer();
          server.listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Starts a process that logs into the folder; `onLine` receives its first output. */
function start(name, bin, args, folder, onLine) {
  const logFile = openSync(join(folder, `${name}.log`), 'a');
  const child = spawn(process.execPath, [bin, ...args], {
    stdio: ['ignore', onLine ? 'pipe' : logFile, logFile],
  });
  children.push(child);
  if (onLine) child.stdout.once('data', data => onLine(String(data).trim()));
  return child;
}

function settingsText(instance, voters, folder) {
  const lines = [
    '[instance]',
    `id = "${instance.id}"`,
    `zone = "${instance.zone}"`,
    'deployment = "demo"',
    '[callers]',
    'address = "127.0.0.1"',
    `port = ${instance.callersPort}`,
    '[internal]',
    'address = "127.0.0.1"',
    `port = ${instance.internalPort}`,
    '[cluster]',
    `key = "${keys.cluster}"`,
    ...voters.flatMap(voter => [
      '[[cluster.voters]]',
      `id = "${voter.id}"`,
      'address = "127.0.0.1"',
      `port = ${voter.internalPort}`,
    ]),
    '[targets]',
    `key = "${keys.targets}"`,
    '[operators]',
    `key = "${keys.operators}"`,
  ];
  if (instance.isVoter) {
    instance.dataFolder = join(folder, instance.id, 'data');
    lines.push('[voter]', `data_folder = "${instance.dataFolder}"`);
  }
  return `${lines.join('\n')}\n`;
}

/** Runs one command of the operators' CLI and returns its output. */
function runCli(entryUrl, args) {
  return new Promise((resolve, reject) => {
    const child = spawn(
      process.execPath,
      [cliBin, '--entry', entryUrl, '--json', ...args],
      {
        env: {...process.env, SAMPHIREFIELD_OPERATOR_KEY: keys.operators},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    let output = '';
    let errorOutput = '';
    child.stdout.on('data', data => (output += data));
    child.stderr.on('data', data => (errorOutput += data));
    child.on('close', code =>
      code === 0
        ? resolve(output)
        : reject(
            new Error(
              `${args.join(' ')}: exit code ${code}: ${errorOutput}${output}`,
            ),
          ),
    );
  });
}

/** Polls until `check` returns true; a check that throws counts as false. */
async function waitUntil(description, check) {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    try {
      if (await check()) return;
    } catch {
      // Not true yet: check again.
    }
    await sleep(100);
  }
  throw new Error(`timed out waiting for ${description}`);
}

/** Returns the demo's rules with the workspaces and their key hashes appended. */
function rulesText() {
  const lines = Object.entries(workspaces).map(([name, key]) => {
    const hash = createHash('sha256').update(key).digest('hex');
    return `workspace ${name} key-sha256=${hash} weight=2 # demo: its own key`;
  });
  return `${readFileSync(join(root, 'demo/rules.txt'), 'utf8')}${lines.join('\n')}\n`;
}

/** Returns when every instance is ready and every target has granted slots. */
async function startDeployment() {
  mkdirSync(join(root, '.demo'), {recursive: true});
  const folder = isOnce
    ? mkdtempSync(join(tmpdir(), 'samphirefield-demo-'))
    : mkdtempSync(join(root, '.demo/run-'));
  const ports = await freePorts(10);
  const zones = ['zone-a', 'zone-b', 'zone-c', 'zone-a', 'zone-b'];
  const instances = zones.map((zone, index) => ({
    id: index < 3 ? `voter-${index + 1}` : `entry-${index - 2}`,
    zone,
    isVoter: index < 3,
    callersPort: ports[index * 2],
    internalPort: ports[index * 2 + 1],
  }));
  const voters = instances.filter(instance => instance.isVoter);
  for (const instance of instances) {
    mkdirSync(join(folder, instance.id), {recursive: true});
    const file = join(folder, instance.id, 'settings.toml');
    writeFileSync(file, settingsText(instance, voters, folder));
    instance.url = `http://127.0.0.1:${instance.callersPort}`;
    instance.internalUrl = `http://127.0.0.1:${instance.internalPort}`;
    instance.pid = start(
      instance.id,
      daemonBin,
      ['--settings', file],
      folder,
    ).pid;
  }
  for (const instance of instances) {
    await waitUntil(
      `${instance.id} to listen`,
      async () => (await fetch(`${instance.url}/healthz`)).ok,
    );
  }
  await runCli(instances[0].internalUrl, ['voters', 'bootstrap']);
  const rulesFile = join(folder, 'rules.txt');
  writeFileSync(rulesFile, rulesText());
  await waitUntil('a leader', async () =>
    runCli(instances[0].internalUrl, ['status']),
  );
  await runCli(instances[0].internalUrl, ['apply', rulesFile]);
  const targets = await startTargets(instances, folder);
  for (const instance of instances) {
    await waitUntil(
      `${instance.id} to be ready`,
      async () => (await fetch(`${instance.url}/readyz`)).ok,
    );
  }
  await waitUntil('three voters and slots on every target', async () => {
    const status = JSON.parse(
      await runCli(instances[0].internalUrl, ['status']),
    );
    const hasAllVoters =
      status.members.filter(member => member.role === 'voter').length === 3;
    return (
      hasAllVoters &&
      status.targets.length === targets.length &&
      status.targets.every(target => target.grantedSlots > 0)
    );
  });
  return {folder, instances, targets, rulesFile};
}

async function startTargets(instances, folder) {
  const specs = [
    ['engine', 'advice-1', 'zone-a', 'advice-models', 'advice-large'],
    ['engine', 'advice-2', 'zone-b', 'advice-models', 'advice-large'],
    ['engine', 'advice-3', 'zone-c', 'advice-models', 'advice-large'],
    ['plain', 'orders-1', 'zone-a', 'order-desk'],
    ['plain', 'orders-2', 'zone-b', 'order-desk'],
    ['engine', 'schrijver-1', 'zone-b', 'schrijver', 'listing-writer'],
    ['engine', 'schrijver-2', 'zone-c', 'schrijver', 'listing-writer'],
    ['plain', 'haven-1', 'zone-c', 'havenkantoor'],
  ];
  const daemons = instances.map(instance => instance.internalUrl).join(',');
  return Promise.all(
    specs.map(
      ([kind, target, zone, service, model]) =>
        new Promise(resolve => {
          const args = [
            kind,
            '--target',
            target,
            '--zone',
            zone,
            '--service',
            service,
            '--daemons',
            daemons,
            '--key',
            keys.targets,
          ];
          if (model) args.push('--model', model);
          start(target, targetBin, args, folder, line =>
            resolve({...JSON.parse(line), zone, service}),
          );
        }),
    ),
  );
}

function post(instance, path, body, headers = {}) {
  return fetch(`${instance.url}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${workspaces['estate-north']}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
  });
}

const TOKENS = 40;
const generationBody = stream => ({
  model: 'advice-large',
  stream,
  messages: [{role: 'user', content: `When do we graft? length=${TOKENS}`}],
});

async function checkStreamedGeneration(instance) {
  const response = await post(
    instance,
    '/v1/chat/completions',
    generationBody(true),
  );
  const events = (await response.text())
    .split('\n\n')
    .filter(event => event.includes('data: '));
  const data = events.map(event => event.slice(event.indexOf('data: ') + 6));
  const isComplete = data.at(-1) === '[DONE]' && data.length === TOKENS + 1;
  const text = data
    .slice(0, -1)
    .map(item => JSON.parse(item).choices[0].delta.content)
    .join('');
  log(
    `streamed generation: ${text.slice(0, 60)}... (${data.length - 1} tokens)`,
  );
  return isComplete;
}

async function checkUnstreamedGeneration(instance) {
  const response = await post(
    instance,
    '/v1/chat/completions',
    generationBody(false),
  );
  const body = await response.json();
  const words = body.choices[0].message.content.trim().split(' ');
  log(
    `unstreamed generation: ${words.length} tokens, ${body.choices[0].finish_reason}`,
  );
  return words.length === TOKENS && body.choices[0].finish_reason === 'stop';
}

/** Sends one order to two instances with the same key; the responses must be equal. */
async function checkOrderSentTwice(instances) {
  const key = randomUUID();
  const order = {item: 'grafting wax', kilograms: 2};
  const responses = [];
  for (const instance of [instances[0], instances[4]]) {
    const response = await post(instance, '/orders', order, {
      'idempotency-key': key,
    });
    responses.push(`${response.status} ${await response.text()}`);
  }
  log(`non-repeatable order, sent twice: ${responses.join(' | ')}`);
  return responses[0].startsWith('200') && responses[0] === responses[1];
}

function stopAll() {
  for (const child of children) child.kill('SIGTERM');
}

async function main() {
  const {folder, instances, targets, rulesFile} = await startDeployment();
  const ready = {
    entries: instances.map(({id, zone, url, internalUrl, pid, dataFolder}) => ({
      id,
      zone,
      url,
      internalUrl,
      pid,
      dataFolder,
    })),
    targets,
    rulesFile,
    folder,
    apiKeys: workspaces,
    operatorKey: keys.operators,
  };
  if (isJson) process.stdout.write(`${JSON.stringify(ready)}\n`);
  else
    log(
      `ready: ${instances.map(instance => instance.url).join(' ')}\nfiles and logs: ${folder}`,
    );
  const results = [
    await checkStreamedGeneration(instances[3]),
    await checkUnstreamedGeneration(instances[4]),
    await checkOrderSentTwice(instances),
  ];
  if (!isOnce) {
    log('serving; press Ctrl-C to stop');
    return;
  }
  const areComplete = results.every(Boolean);
  log(
    areComplete
      ? 'all responses were complete'
      : `incomplete responses: ${JSON.stringify(results)}; logs: ${folder}`,
  );
  process.exitCode = areComplete ? 0 : 1;
  stopAll();
}

for (const signal of ['SIGINT', 'SIGTERM']) {
  process.on(signal, () => {
    stopAll();
    process.exit(0);
  });
}
main().catch(error => {
  log(`demo failed: ${error.message}`);
  stopAll();
  process.exit(1);
});
