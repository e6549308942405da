/**
 * A small deployment on loopback: the project's own programs, started with the
 * commands of the deploy file, each at its own loopback address.
 */
import {spawn} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
const RESTART_AFTER_MS = 500;

/** The bounds of the page of the site `tembusu-graft`. */
export const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  ContactMs: 3000,
  AckMs: 4000,
  CatchupS: 4,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigMs: 2000,
  RollbackSlackMs: 250,
  SkewMs: 5000,
  StrictRevoke: false,
  RevokeMs: 5000,
  RetryRatio: 0.2,
  RetryWindowS: 10,
  RetrySlack: 58,
  ColdOver: 1.5,
  ColdSlack: 5,
  EvacMs: 5000,
  RecoverS: 12,
  PassMs: 120,
  ReuseWindowS: 4.6,
};

function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1];
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen({host, port}, () => server.close(() => resolve(true)));
  });
}

async function freePorts(host) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 8_000);
    const ports = Array.from({length: 20}, (_, i) => first + i);
    const free = await Promise.all(ports.map(port => isFree(host, port)));
    if (free.every(Boolean)) return first;
  }
}

export class Deployment {
  constructor(record, network, firstPort) {
    this.record = record;
    this.network = network;
    this.folder = mkdtempSync(join(tmpdir(), 'samphirefield-review-'));
    this.controlPort = firstPort;
    this.frontPort = firstPort + 1;
    this.readyPort = firstPort + 2;
    this.internalPorts = [firstPort + 3, firstPort + 18];
    this.machines = new Map();
    this.count = 0;
    /** Losses of machines of the core to bear at once. */
    this.tolerance = 1;
  }

  static async create(record) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    return new Deployment(record, network, await freePorts(`${network}.1`));
  }

  /** Reserves a machine with an address of its own. */
  addMachine(name, role, zoneIndex) {
    this.count += 1;
    const ip = `${this.network}.${this.count}`;
    const folder = join(this.folder, name);
    const machine = {
      name,
      role,
      ip,
      zone: ZONES[zoneIndex],
      folder,
      exits: [],
    };
    mkdirSync(join(folder, 'data'), {recursive: true});
    this.machines.set(name, machine);
    return machine;
  }

  setSeeds(machines) {
    this.seeds = machines.map(({ip}) => `${ip}:${this.controlPort}`);
  }

  settingsOf({name, role, ip, zone, folder}, isFirstStart) {
    const isEntry = role === 'entry';
    const listen = isEntry
      ? [
          `Front = "${ip}:${this.frontPort}"`,
          `Ready = "${ip}:${this.readyPort}"`,
        ]
      : [`Control = "${ip}:${this.controlPort}"`];
    return [
      `Node = "${name}"`,
      `Role = "${role}"`,
      `MachineClass = "${isEntry ? 'edge' : 'core'}"`,
      `Serves = ["${isEntry ? 'edge' : 'control'}"]`,
      `Ip = "${ip}"`,
      `Zone = "${zone}"`,
      'Region = "region"',
      `InternalPorts = [${this.internalPorts.join(',')}]`,
      `Seeds = ${JSON.stringify(this.seeds)}`,
      `Bootstrap = ${isFirstStart}`,
      `LossCounts = ${!isEntry}`,
      ...(isEntry ? [] : [`DataDir = "${join(folder, 'data')}"`]),
      'Discovery = "registry"',
      'Entry = "vip"',
      'HeartbeatMs = 1200',
      'Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places"]',
      'ConfigMode = "highest"',
      '[Zones]',
      ...ZONES.map(item => `${item} = "region"`),
      '[Listen]',
      ...listen,
      '[FaultTolerance]',
      `Machines = ${this.tolerance}`,
      'Zones = 1',
      'Regions = 0',
      '[Bounds]',
      ...Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`),
      '',
    ].join('\n');
  }

  writeSettings(machine, isFirstStart) {
    const file = join(machine.folder, 'node.toml');
    writeFileSync(file, this.settingsOf(machine, isFirstStart));
    return file;
  }

  /** Starts the program of a machine; starts it again when it ends by itself. */
  start(machine, isFirstStart) {
    const file = this.writeSettings(machine, isFirstStart);
    const [program, ...args] = commandOf(machine.role);
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, SAMPHIREFIELD_CONFIG: file},
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    machine.child = child;
    machine.isWanted = true;
    let errors = '';
    child.stderr.on('data', data => (errors += data));
    child.on('exit', (code, signal) => {
      if (machine.child !== child || !machine.isWanted) return;
      machine.exits.push({code, signal});
      const reason = errors.trim().split('\n').slice(0, 2).join(' | ');
      this.record(
        `${machine.name} ended by itself (code ${code}, signal ${signal}): ${reason}`,
      );
      setTimeout(() => {
        if (machine.isWanted && machine.child === child)
          this.start(machine, false);
      }, RESTART_AFTER_MS);
    });
    this.record(
      `${machine.name} started at ${machine.ip}, Bootstrap = ${isFirstStart}`,
    );
  }

  /** Sends a signal after which the program shall not come back by itself. */
  async end(machine, signal, killAfterMs = 0) {
    machine.isWanted = false;
    const {child} = machine;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise(resolve => child.once('exit', resolve));
    const timer = setTimeout(() => child.kill('SIGKILL'), killAfterMs || 1_000);
    child.kill(signal);
    await ended;
    clearTimeout(timer);
    this.record(`${machine.name} has ended after ${signal}`);
  }

  wipe(machine) {
    const data = join(machine.folder, 'data');
    rmSync(data, {recursive: true, force: true});
    mkdirSync(data);
    this.record(`${machine.name} has lost its disk`);
  }

  async close() {
    for (const machine of this.machines.values()) {
      if (machine.child) await this.end(machine, 'SIGKILL');
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}
