/**
 * Starts the project's own programs with the commands of the deploy file, as
 * separate processes on loopback addresses: entries and control daemons of a
 * small deployment. Written for this review only.
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
import {dirname, join, resolve} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
export const DEPLOYMENT = {
  heartbeatMs: 1200,
  contactMs: 3000,
  drainMs: 2000,
  evacMs: 5000,
  graceS: 8,
};

/** The command of a role, as the deploy file gives it. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

async function freePort(host) {
  return new Promise((done, fail) => {
    const server = createServer();
    server.once('error', fail);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => done(port));
    });
  });
}

export function createRecord(file) {
  const startedAt = performance.now();
  const lines = [];
  return {
    note(event, fields = {}) {
      const atMs = Math.round(performance.now() - startedAt);
      const rest = Object.entries(fields)
        .map(([name, value]) => `${name}=${value}`)
        .join(' ');
      lines.push(`${String(atMs).padStart(7)} ms  ${event} ${rest}`);
    },
    save() {
      writeFileSync(file, lines.join('\n') + '\n');
    },
  };
}

export class Cluster {
  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'review-2-'));
    this.net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    this.processes = [];
    this.controls = [];
    this.entries = [];
    process.once('SIGTERM', () => process.exit(2));
    process.once('exit', () => this.killAll());
  }

  async start({
    controls = 5,
    entries = 2,
    zones = ['z-a', 'z-b', 'z-c'],
    memoryMb = 346,
    machines = 1,
    grownMs = 0,
  } = {}) {
    this.zones = zones;
    const first = `${this.net}.1`;
    this.ports = {
      front: await freePort(first),
      ready: await freePort(first),
      control: await freePort(first),
    };
    this.internal = 20_000 + 2 * Math.floor(Math.random() * 5_000);
    const hosts = Array.from(
      {length: controls},
      (_, i) => `${this.net}.${i + 1}`,
    );
    this.seeds = hosts.slice(0, 3).map(host => `${host}:${this.ports.control}`);
    this.machines = machines;
    this.memoryMb = memoryMb;
    for (const [i, host] of hosts.entries())
      this.controls.push(
        this.launch('control', `core-${i + 1}`, host, zones[i % zones.length]),
      );
    for (let i = 0; i < entries; i += 1)
      this.entries.push(
        this.launch(
          'entry',
          `edge-${i + 1}`,
          `${this.net}.${101 + i}`,
          zones[i % zones.length],
        ),
      );
    if (grownMs > 0) await delay(grownMs);
  }

  settings(role, name, host, zone, bootstrap) {
    const {front, ready, control} = this.ports;
    const lines = [
      `Node = "${name}"`,
      `Role = "${role}"`,
      `MachineClass = "${role === 'entry' ? 'edge' : 'core'}"`,
      `Serves = ["${role === 'entry' ? 'edge' : 'control'}"]`,
      `Ip = "${host}"`,
      `Zone = "${zone}"`,
      'Region = "r-1"',
      `InternalPorts = [${this.internal},${this.internal + 15}]`,
      `Seeds = ${JSON.stringify(this.seeds)}`,
      `Bootstrap = ${bootstrap}`,
      `LossCounts = ${role === 'control'}`,
      'Discovery = "registry"',
      'Entry = "vip"',
      `HeartbeatMs = ${DEPLOYMENT.heartbeatMs}`,
      'Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places"]',
      'ConfigMode = "highest"',
    ];
    if (role === 'control')
      lines.push(`DataDir = "${join(this.folder, name)}"`);
    lines.push(
      '[Zones]',
      ...this.zones.map(item => `${item} = "r-1"`),
      '[Listen]',
    );
    if (role === 'entry')
      lines.push(`Front = "${host}:${front}"`, `Ready = "${host}:${ready}"`);
    else lines.push(`Control = "${host}:${control}"`);
    lines.push(
      '[Limits]',
      'CpuShare = 0.675',
      'Cores = 1',
      `MemoryMb = ${this.memoryMb}`,
      'MaxFds = 4096',
      'LinkMbps = 1000.0',
      'DiskMb = 128',
      '[FaultTolerance]',
      `Machines = ${this.machines}`,
      'Zones = 1',
      'Regions = 0',
      '[Bounds]',
      'SeedLagS = 3',
      'ReuseAfterS = 2',
      `ContactMs = ${DEPLOYMENT.contactMs}`,
      'AckMs = 4000',
      'CatchupS = 4',
      `DrainMs = ${DEPLOYMENT.drainMs}`,
      `GraceS = ${DEPLOYMENT.graceS}`,
      'LossSlackMs = 200',
      'ConfigMs = 2000',
      'RollbackSlackMs = 250',
      'SkewMs = 5000',
      'StrictRevoke = false',
      'RevokeMs = 5000',
      'RetryRatio = 0.2',
      'RetryWindowS = 10',
      'RetrySlack = 56',
      'ColdOver = 1.5',
      'ColdSlack = 5',
      `EvacMs = ${DEPLOYMENT.evacMs}`,
      'RecoverS = 12',
      'PassMs = 120',
      'ReuseWindowS = 7.4',
    );
    return lines.join('\n') + '\n';
  }

  launch(role, name, host, zone, bootstrap = true) {
    const file = join(this.folder, `${name}.toml`);
    mkdirSync(join(this.folder, name), {recursive: true});
    writeFileSync(file, this.settings(role, name, host, zone, bootstrap));
    const [program, ...args] = commandOf(role);
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SAMPHIREFIELD_CONFIG: file,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = {role, name, host, zone, child, output: ''};
    const keep = data => (started.output += data);
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      started.hasEnded = true;
      if (!this.isEnding)
        this.record.note('process_ended', {name, code, signal});
    });
    this.processes.push(started);
    this.record.note('process_started', {name, host, zone, pid: child.pid});
    return started;
  }

  /** Starts the process again with the settings in effect, as the platform does. */
  restart(old) {
    const next = this.launch(old.role, old.name, old.host, old.zone, false);
    for (const list of [this.controls, this.entries]) {
      const at = list.indexOf(old);
      if (at >= 0) list[at] = next;
    }
    return next;
  }

  signal(started, signal) {
    this.record.note('signal', {name: started.name, signal});
    started.child.kill(signal);
  }

  /** Reads one figure of a process's own metrics. */
  async metric(started, name) {
    const text = await fetch(`http://${started.host}:9464/metrics`, {
      signal: AbortSignal.timeout(900),
    }).then(
      res => res.text(),
      () => '',
    );
    const match = new RegExp(`^\\S*${name}(?:\\{[^}]*\\})? (\\S+)$`, 'm').exec(
      text,
    );
    return match ? Number(match[1]) : undefined;
  }

  async leader() {
    for (;;) {
      for (const control of this.controls)
        if ((await this.metric(control, 'leader')) === 1) return control;
      await delay(100);
    }
  }

  async ready(timeoutMs = 30_000) {
    const untilMs = performance.now() + timeoutMs;
    for (const entry of this.entries) {
      for (;;) {
        const status = await fetch(
          `http://${entry.host}:${this.ports.ready}/samphirefield/readyz`,
        ).then(
          res => res.status,
          () => 0,
        );
        if (status === 200) break;
        if (performance.now() > untilMs)
          throw new Error(`${entry.name} is not ready`);
        await delay(100);
      }
    }
  }

  /** Ends what this case has started, also when the script fails. */
  killAll() {
    this.isEnding = true;
    for (const {child, hasEnded} of this.processes) {
      if (hasEnded) continue;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
  }

  async stop() {
    this.killAll();
    await delay(200);
    rmSync(this.folder, {recursive: true, force: true});
  }
}
