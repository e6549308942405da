/**
 * A deployment on loopback for tests. Daemons run as processes or inside the test
 * process, each with its own loopback address and a relay that can drop data.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {randomUUID} from 'node:crypto';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {loadSettings, sha256Hex, silentLogger} from '@samphirefield/core';
import {findFreePort} from '@samphirefield/core/testing';
import type {
  ClusterStatus,
  OperatorResult,
  OperatorChange,
} from '@samphirefield/control';
import {startDaemon, type RunningDaemon} from '../daemon.js';
import {Relay} from './relay.js';

export const INTERNAL_KEY = 'a-key-for-the-tests';
export const API_KEY = 'api-key-of-the-tests';
const WAIT_MS = 60_000;
const POLL_MS = 20;

export const RULES = `
zone zone-a # test: first
zone zone-b # test: second
zone zone-c # test: third
service models kind=engine path=/v1 queue=500 # test: generations
service desk kind=plain path=/orders queue=500 # test: orders
model large service=models # test: the only model
once service=desk method=POST path=/orders # test: nobody pays twice
workspace tests key-sha256=${sha256Hex(API_KEY)} # test: the caller
`;

export interface DeploymentOptions {
  readonly voters?: number;
  readonly entries?: number;
  readonly mode?: 'inline' | 'process';
  readonly rules?: string;
  /** Additional lines of TOML, for example a [timing] table. */
  readonly settings?: string;
}

export interface TestDaemon {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly isVoter: boolean;
  readonly callersUrl: string;
  readonly internalUrl: string;
  readonly settingsFile: string;
  readonly dataFolder: string;
  readonly logFile: string;
  readonly relay: Relay;
  process: ChildProcess | undefined;
  inProcess: RunningDaemon | undefined;
}

export interface CommandResponse {
  readonly status: number;
  readonly body: {readonly kind: string; readonly answer?: OperatorResult};
}

/** Waits for a condition; the time limit only ends a test that would hang. */
export async function waitFor<T>(
  condition: string,
  check: () => Promise<T | undefined | false> | T | undefined | false,
): Promise<T> {
  const deadline = Date.now() + WAIT_MS;
  while (Date.now() < deadline) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
    } catch {
      // Not reachable yet.
    }
    await delay(POLL_MS);
  }
  throw new Error(`timed out waiting for: ${condition}`);
}

const daemonBin = fileURLToPath(new URL('../bin.js', import.meta.url));
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

export class TestDeployment {
  readonly daemons: TestDaemon[] = [];
  /**
   * Differs for each test, so that daemons that another test left behind at
   * the same addresses cannot join.
   */
  readonly name = `tests-${randomUUID()}`;
  private nextCommand = 1;

  private constructor(
    private readonly folder: string,
    private readonly options: DeploymentOptions,
  ) {}

  /** Starts the daemons, forms the group and applies the rules. */
  static async start(options: DeploymentOptions = {}): Promise<TestDeployment> {
    const folder = mkdtempSync(join(tmpdir(), 'samphirefield-test-'));
    const deployment = new TestDeployment(folder, options);
    await deployment.prepare();
    await Promise.all(
      deployment.daemons.map(daemon => deployment.startDaemon(daemon)),
    );
    const first = deployment.daemons[0]!;
    await waitFor('the group is formed', async () => {
      const response = await deployment.callOperatorApi(
        first,
        'POST',
        '/operator/bootstrap',
        {},
      );
      return response.status === 200;
    });
    const rules = options.rules ?? RULES;
    if (rules !== '') await deployment.applyRules(rules);
    await deployment.waitForVoters();
    await deployment.waitForReady();
    return deployment;
  }

  get voters(): TestDaemon[] {
    return this.daemons.filter(daemon => daemon.isVoter);
  }

  get internalUrls(): string[] {
    return this.daemons.map(daemon => daemon.internalUrl);
  }

  daemon(id: string): TestDaemon {
    return this.daemons.find(daemon => daemon.id === id)!;
  }

  async startDaemon(daemon: TestDaemon): Promise<void> {
    if (this.options.mode === 'process') {
      const log = openSync(daemon.logFile, 'a');
      daemon.process = spawn(
        process.execPath,
        [daemonBin, '--settings', daemon.settingsFile],
        {
          stdio: ['ignore', log, log],
        },
      );
    } else {
      const settings = loadSettings(daemon.settingsFile)._unsafeUnwrap();
      const started = await startDaemon(settings, silentLogger);
      daemon.inProcess = started._unsafeUnwrap();
    }
    await waitFor(
      `${daemon.id} listens`,
      async () => (await this.get(daemon, '/healthz')).status === 200,
    );
  }

  /** Sends a signal to a daemon's process and waits for its exit; SIGKILL by default. */
  async kill(
    daemon: TestDaemon,
    signal: NodeJS.Signals = 'SIGKILL',
  ): Promise<number | null> {
    const {process: child} = daemon;
    if (!child) return null;
    daemon.process = undefined;
    const gone = new Promise<number | null>(resolve =>
      child.once('exit', code => resolve(code)),
    );
    child.kill(signal);
    return gone;
  }

  suspend(daemon: TestDaemon): void {
    daemon.process?.kill('SIGSTOP');
  }

  resume(daemon: TestDaemon): void {
    daemon.process?.kill('SIGCONT');
  }

  deleteData(daemon: TestDaemon): void {
    rmSync(daemon.dataFolder, {recursive: true, force: true});
  }

  /** Drops all data between a daemon and all others, in both directions. */
  partition(daemon: TestDaemon): void {
    for (const other of this.daemons) {
      if (other === daemon) continue;
      other.relay.block(daemon.address);
      daemon.relay.block(other.address);
    }
  }

  heal(): void {
    for (const daemon of this.daemons) {
      for (const other of this.daemons) daemon.relay.unblock(other.address);
    }
  }

  async close(): Promise<void> {
    for (const daemon of this.daemons) {
      if (daemon.process) this.resume(daemon);
      await this.kill(daemon);
      await daemon.inProcess?.stop();
      daemon.inProcess = undefined;
      await daemon.relay.close();
    }
    rmSync(this.folder, {recursive: true, force: true});
  }

  async get(daemon: TestDaemon, path: string) {
    const response = await request(`${daemon.callersUrl}${path}`, {
      signal: AbortSignal.timeout(3_000),
    });
    return {status: response.statusCode, body: await response.body.text()};
  }

  async callOperatorApi(
    daemon: TestDaemon,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
    key = INTERNAL_KEY,
  ) {
    const response = await request(`${daemon.internalUrl}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(10_000),
    });
    return {
      status: response.statusCode,
      body: (await response.body.json()) as CommandResponse['body'],
    };
  }

  async status(daemon = this.daemons[0]!): Promise<ClusterStatus> {
    const response = await this.callOperatorApi(
      daemon,
      'GET',
      '/operator/status',
    );
    if (response.status !== 200) throw new Error(`status ${response.status}`);
    return response.body as unknown as ClusterStatus;
  }

  async revision(daemon = this.daemons[0]!): Promise<number> {
    const response = await this.callOperatorApi(
      daemon,
      'GET',
      '/operator/config',
    );
    if (response.status !== 200) throw new Error(`status ${response.status}`);
    return (response.body as unknown as {revision: number}).revision;
  }

  /** Sends one operator command through one daemon. */
  sendCommand(
    daemon: TestDaemon,
    change: OperatorChange,
    baseRevision: number,
    commandId = `command-${this.nextCommand++}`,
  ): Promise<CommandResponse> {
    return this.callOperatorApi(daemon, 'POST', '/operator/command', {
      commandId,
      baseRevision,
      operator: 'tests',
      isUnseenAllowed: true,
      change,
    });
  }

  /** Sends a change until it is accepted, and waits until it is active everywhere. */
  async applyChange(
    change: OperatorChange,
    via = this.daemons[0]!,
  ): Promise<number> {
    const commandId = `command-${this.nextCommand++}`;
    const revision = await waitFor('a change is accepted', async () => {
      const response = await this.sendCommand(
        via,
        change,
        await this.revision(via),
        commandId,
      );
      const {answer: result} = response.body;
      if (result?.kind === 'accepted' || result?.kind === 'unchanged')
        return result.revision;
      return undefined;
    });
    await this.waitUntilActive(revision, via);
    return revision;
  }

  async applyRules(text: string): Promise<number> {
    return this.applyChange({kind: 'apply_rules', text});
  }

  async waitUntilActive(
    revision: number,
    via = this.daemons[0]!,
  ): Promise<void> {
    await waitFor(`revision ${revision} is active`, async () => {
      const status = await this.status(via);
      return status.revision >= revision && status.isInForce;
    });
  }

  async waitForVoters(
    count = this.voters.length,
    via = this.daemons[0]!,
  ): Promise<void> {
    await waitFor(`${count} voters`, async () => {
      const {members} = await this.status(via);
      const isComplete =
        members.length === count &&
        members.every(member => member.role === 'voter');
      return isComplete && members.every(member => member.lagEntries === 0);
    });
  }

  async waitForReady(
    daemons: readonly TestDaemon[] = this.daemons,
  ): Promise<void> {
    for (const daemon of daemons) {
      await waitFor(
        `${daemon.id} is ready`,
        async () => (await this.get(daemon, '/readyz')).status === 200,
      );
    }
  }

  /** Waits until slots are granted on each of these targets. */
  async waitForTargets(
    targets: readonly string[],
    via = this.daemons[0]!,
  ): Promise<void> {
    await waitFor(`targets ${targets.join(', ')}`, async () => {
      const status = await this.status(via);
      return targets.every(target =>
        status.targets.some(
          row => row.target === target && row.grantedSlots > 0 && !row.isLapsed,
        ),
      );
    });
  }

  readLog(daemon: TestDaemon): string {
    return readFileSync(daemon.logFile, 'utf8');
  }

  private async prepare(): Promise<void> {
    const {voters = 3, entries = 0} = this.options;
    const plans = await Promise.all(
      Array.from({length: voters + entries}, async (_, index) => {
        const address = `127.0.0.${10 + index}`;
        const internalPort = await findFreePort(address);
        const relay = new Relay(address, internalPort);
        return {
          id:
            index < voters
              ? `voter-${index + 1}`
              : `entry-${index - voters + 1}`,
          zone: ZONES[index % ZONES.length]!,
          address,
          isVoter: index < voters,
          callersPort: await findFreePort(address),
          internalPort,
          relay,
          relayPort: await relay.start(),
        };
      }),
    );
    const voterLines = plans
      .filter(plan => plan.isVoter)
      .flatMap(plan => [
        '[[cluster.voters]]',
        `id = "${plan.id}"`,
        `address = "${plan.address}"`,
        `port = ${plan.relayPort}`,
      ]);
    for (const plan of plans) {
      const home = join(this.folder, plan.id);
      mkdirSync(home);
      const dataFolder = join(home, 'data');
      const settingsFile = join(home, 'settings.toml');
      const lines = [
        '[instance]',
        `id = "${plan.id}"`,
        `zone = "${plan.zone}"`,
        `deployment = "${this.name}"`,
        '[callers]',
        `address = "${plan.address}"`,
        `port = ${plan.callersPort}`,
        '[internal]',
        `address = "${plan.address}"`,
        `port = ${plan.internalPort}`,
        '[cluster]',
        `key = "${INTERNAL_KEY}"`,
        ...voterLines,
        '[targets]',
        `key = "${INTERNAL_KEY}"`,
        '[operators]',
        `key = "${INTERNAL_KEY}"`,
        ...(plan.isVoter ? ['[voter]', `data_folder = "${dataFolder}"`] : []),
        this.options.settings ?? '',
      ];
      writeFileSync(settingsFile, lines.join('\n'));
      this.daemons.push({
        id: plan.id,
        zone: plan.zone,
        address: plan.address,
        isVoter: plan.isVoter,
        callersUrl: `http://${plan.address}:${plan.callersPort}`,
        internalUrl: `http://${plan.address}:${plan.internalPort}`,
        settingsFile,
        dataFolder,
        logFile: join(home, 'log'),
        relay: plan.relay,
        process: undefined,
        inProcess: undefined,
      });
    }
  }
}
