/** Starts a deployment of daemon processes on loopback for benchmarks. */
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {sha256Hex} from '@samphirefield/core';
import {
  findFreePort,
  ProcessGroup,
  readProcessUsage,
  waitFor,
  type ProcessUsage,
} from './processes.js';

/** Key of the cluster, of the targets and of the operators. */
export const INTERNAL_KEY = 'a-key-for-benchmarks';
/** Key of the workspace `bench`. */
export const API_KEY = 'api-key-for-benchmarks';
const daemonBin = fileURLToPath(
  new URL('../../daemon/dist/bin.js', import.meta.url),
);

export interface BenchDaemon {
  readonly id: string;
  readonly callersUrl: string;
  readonly internalUrl: string;
  readonly pid: number;
}

/** Returns a rules file with this many workspaces, `bench` among them. */
export function baseRules(workspaces: number): string {
  const lines = [
    'zone zone-a # bench: the only zone',
    'service models kind=engine path=/v1 queue=100000 # bench: streams',
    'service desk kind=plain path=/orders queue=100000 # bench: orders',
    'once service=desk method=POST path=/orders # bench: claims',
    'model large service=models # bench: the model',
    `workspace bench key-sha256=${sha256Hex(API_KEY)} # bench: the caller`,
  ];
  for (let number = 1; number < workspaces; number += 1) {
    lines.push(
      `workspace w${number} key-sha256=${sha256Hex(`w${number}`)} weight=2 # bench: one of many`,
    );
  }
  return `${lines.join('\n')}\n`;
}

function settingsText(
  daemon: {id: string; callersPort: number; internalPort: number},
  voters: ReadonlyArray<{id: string; internalPort: number}>,
  dataFolder: string | undefined,
  extraSettings: string,
): string {
  const lines = [
    '[instance]',
    `id = "${daemon.id}"`,
    'zone = "zone-a"',
    'deployment = "bench"',
    '[callers]',
    'address = "127.0.0.1"',
    `port = ${daemon.callersPort}`,
    '[internal]',
    'address = "127.0.0.1"',
    `port = ${daemon.internalPort}`,
    '[cluster]',
    `key = "${INTERNAL_KEY}"`,
    ...voters.flatMap(voter => [
      '[[cluster.voters]]',
      `id = "${voter.id}"`,
      'address = "127.0.0.1"',
      `port = ${voter.internalPort}`,
    ]),
    '[targets]',
    `key = "${INTERNAL_KEY}"`,
    '[operators]',
    `key = "${INTERNAL_KEY}"`,
    ...(dataFolder ? ['[voter]', `data_folder = "${dataFolder}"`] : []),
    '[log]',
    'level = "warn"',
    extraSettings,
  ];
  return lines.join('\n');
}

export interface BenchOptions {
  readonly voters: number;
  /** Daemons that are not voters. */
  readonly entries: number;
  readonly workspaces?: number;
  /** Settings appended to every daemon's settings file. */
  readonly settings?: string;
}

export class BenchDeployment {
  readonly daemons: BenchDaemon[] = [];
  private nextCommand = 1;

  private constructor(readonly processes: ProcessGroup) {}

  /** Returns when every daemon is ready and every voter is a member of the group. */
  static async start(options: BenchOptions): Promise<BenchDeployment> {
    const deployment = new BenchDeployment(new ProcessGroup());
    const specs = await Promise.all(
      Array.from(
        {length: options.voters + options.entries},
        async (_, index) => ({
          id: `d${index}`,
          isVoter: index < options.voters,
          callersPort: await findFreePort(),
          internalPort: await findFreePort(),
        }),
      ),
    );
    const voters = specs.filter(spec => spec.isVoter);
    for (const spec of specs)
      deployment.startDaemon(spec, voters, options.settings ?? '');
    await Promise.all(
      deployment.daemons.map(daemon =>
        deployment.waitForPath(daemon, '/healthz'),
      ),
    );
    await deployment.callOperatorApi('POST', '/operator/bootstrap', {});
    await deployment.applyRules(baseRules(options.workspaces ?? 1));
    await Promise.all(
      deployment.daemons.map(daemon =>
        deployment.waitForPath(daemon, '/readyz'),
      ),
    );
    await waitFor('every voter to join the group', async () => {
      const status = await deployment.callOperatorApi<{
        members: Array<{role: string}>;
      }>('GET', '/operator/status');
      return (
        status.members.filter(member => member.role === 'voter').length ===
        options.voters
      );
    });
    return deployment;
  }

  get internalUrls(): string[] {
    return this.daemons.map(daemon => daemon.internalUrl);
  }

  async callOperatorApi<Body>(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Body> {
    const response = await request(`${this.daemons[0]!.internalUrl}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${INTERNAL_KEY}`,
        'content-type': 'application/json',
      },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return (await response.body.json()) as Body;
  }

  /**
   * Proposes a change on the current revision until it is accepted or changes
   * nothing; returns the resulting revision.
   */
  async applyChange(change: object): Promise<number> {
    let revision = 0;
    const commandId = `bench-${this.nextCommand}`;
    this.nextCommand += 1;
    await waitFor('a change to be accepted', async () => {
      const config = await this.callOperatorApi<{revision?: number}>(
        'GET',
        '/operator/config',
      );
      const response = await this.callOperatorApi<{
        answer?: {kind: string; revision: number};
      }>('POST', '/operator/command', {
        commandId,
        baseRevision: config.revision,
        operator: 'bench',
        isUnseenAllowed: true,
        change,
      });
      revision = response.answer?.revision ?? 0;
      return (
        response.answer?.kind === 'accepted' ||
        response.answer?.kind === 'unchanged'
      );
    });
    return revision;
  }

  applyRules(text: string): Promise<number> {
    return this.applyChange({kind: 'apply_rules', text});
  }

  /** Waits until the status for operators reports the newest configuration as active. */
  async waitUntilActive(): Promise<void> {
    await waitFor(
      'a change to become active',
      async () =>
        (
          await this.callOperatorApi<{isInForce: boolean}>(
            'GET',
            '/operator/status',
          )
        ).isInForce,
    );
  }

  usages(): ProcessUsage[] {
    return this.daemons.map(daemon => readProcessUsage(daemon.pid));
  }

  close(): Promise<void> {
    return this.processes.close();
  }

  private startDaemon(
    spec: {
      id: string;
      isVoter: boolean;
      callersPort: number;
      internalPort: number;
    },
    voters: ReadonlyArray<{id: string; internalPort: number}>,
    extraSettings: string,
  ): void {
    const dataFolder = spec.isVoter
      ? join(this.processes.folder, spec.id)
      : undefined;
    const file = this.processes.writeFile(
      `${spec.id}.toml`,
      settingsText(spec, voters, dataFolder, extraSettings),
    );
    const child = this.processes.start(spec.id, daemonBin, [
      '--settings',
      file,
    ]);
    this.daemons.push({
      id: spec.id,
      callersUrl: `http://127.0.0.1:${spec.callersPort}`,
      internalUrl: `http://127.0.0.1:${spec.internalPort}`,
      pid: child.pid!,
    });
  }

  private waitForPath(daemon: BenchDaemon, path: string): Promise<void> {
    return waitFor(`status 200 from ${daemon.id} ${path}`, async () => {
      const response = await request(`${daemon.callersUrl}${path}`);
      await response.body.dump();
      return response.statusCode === 200;
    });
  }
}
