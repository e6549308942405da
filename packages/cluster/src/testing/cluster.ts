/**
 * Control and entry daemons on loopback; each control daemon has its own data
 * folder.
 */
import {mkdtempSync, readdirSync, rmSync, statSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {
  instanceId,
  serviceId,
  silentLogger,
  targetId,
  zoneId,
  type Logger,
} from '@samphirefield/core';
import {findFreePort} from '@samphirefield/core/testing';
import type {
  RelayEndpoint,
  RouteTable,
  TargetAnnouncement,
  UpstreamPool,
} from '@samphirefield/gateway';
import {ControlNode, type ControlNodeOptions} from '../control/index.js';
import {EntryNode} from '../entry/index.js';
import type {Address} from '../link/index.js';
import {TestDisk} from './disk.js';

const TIMING = {
  heartbeatMs: 40,
  electionTimeoutMinMs: 200,
  electionTimeoutMaxMs: 400,
  clockDriftMs: 10,
};
const POLL_MS = 15;
const MAX_WAIT_MS = 20_000;
export const SERVICE = serviceId('advice');

const nowMs = () => performance.now();

/** Decodes a document that is only a number into a table of that version. */
export function decodeTestDocument(document: unknown) {
  const table: RouteTable = {
    version: Number(document),
    routes: [],
    services: [
      {
        name: SERVICE,
        healthPath: '/',
        maxConnections: 10,
        coldRequestsPerS: 0,
        engine: {
          slots: 4,
          kvTokens: 10_000,
          bytesPerKvToken: 1,
          linkMbps: 1,
          canMove: true,
          tokensPerEvent: 1,
        },
      },
    ],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    workspaces: [],
  };
  return ok(table);
}

async function freeAddress(): Promise<Address> {
  const host = '127.0.0.1';
  return {host, port: await findFreePort(host)};
}

/** Polls until the condition holds; throws after `MAX_WAIT_MS`. */
export async function until(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const startedAtMs = nowMs();
  while (!(await condition())) {
    if (nowMs() - startedAtMs > MAX_WAIT_MS)
      throw new Error(`timed out waiting for: ${description}`);
    await delay(POLL_MS);
  }
}

/** An election on a busy machine takes longer than the product waits. */
const NEXT_LEADER_WAIT_MS = 20_000;

export class TestCluster {
  readonly controls = new Map<number, ControlNode>();
  readonly entries: EntryNode[] = [];
  private readonly folders: string[] = [];
  private readonly disks = new Map<number, TestDisk>();
  /** For daemons that start later; undefined: the default. */
  replaceAfterMs: number | undefined;
  /** For daemons that start later. */
  targetSilentAfterMs = 600;
  /** For daemons that start later. */
  usesAdmission = false;
  /** Positions of the seeds of daemons that start later. */
  seeds: readonly number[] = [0, 1, 2];
  /** For daemons that start later. */
  rollouts: ControlNodeOptions['rollouts'];
  /** Where entries that start later accept relayed requests. */
  relay: RelayEndpoint | undefined;
  /** Receives the events of daemons that start later. */
  logger: Logger = silentLogger;

  private constructor(
    readonly addresses: readonly Address[],
    private readonly voters: number,
    private readonly root: string,
    private readonly decodeConfig: typeof decodeTestDocument,
  ) {
    addresses.forEach((_, i) => this.folders.push(join(root, `disk-${i}`)));
  }

  static async create(
    size: number,
    voters = 3,
    decodeConfig = decodeTestDocument,
  ): Promise<TestCluster> {
    const addresses: Address[] = [];
    while (addresses.length < size) addresses.push(await freeAddress());
    const root = mkdtempSync(join(tmpdir(), 'samphirefield-cluster-'));
    return new TestCluster(addresses, voters, root, decodeConfig);
  }

  /** The disk of daemon `i`, which can be full. */
  disk(i: number): TestDisk {
    const disk = this.disks.get(i) ?? new TestDisk();
    this.disks.set(i, disk);
    return disk;
  }

  private get seedAddresses(): Address[] {
    return this.seeds.map(i => this.addresses[i]!);
  }

  /** Starts daemon `i`. */
  async start(i: number, isFirstStart: boolean): Promise<ControlNode> {
    const node = new ControlNode({
      instance: instanceId(`c${i}`),
      zone: zoneId(`z${i}`),
      dataFolder: this.folders[i]!,
      address: this.addresses[i]!,
      seeds: this.seedAddresses,
      isFirstStart,
      timing: TIMING,
      voters: this.voters,
      replaceAfterMs: this.replaceAfterMs,
      targetSilentAfterMs: this.targetSilentAfterMs,
      decodeConfig: this.decodeConfig,
      logger: this.logger,
      nowMs,
      usesAdmission: this.usesAdmission,
      ...(this.rollouts && {rollouts: this.rollouts}),
      openStorage: folder => this.disk(i).open(folder),
    });
    const started = await node.start();
    if (started.isErr()) throw new Error(started.error);
    this.controls.set(i, node);
    return node;
  }

  /** Stops daemon `i` as planned: it gives up its vote first. */
  async leave(i: number): Promise<void> {
    await this.controls.get(i)?.leave(MAX_WAIT_MS);
    await this.stop(i);
  }

  async stop(i: number): Promise<void> {
    const node = this.controls.get(i);
    this.controls.delete(i);
    await node?.stop();
  }

  /** Bytes that daemon `i` holds on its disk. */
  diskBytes(i: number): number {
    const folder = this.folders[i]!;
    const sizes = readdirSync(folder).map(
      name => statSync(join(folder, name)).size,
    );
    return sizes.reduce((sum, size) => sum + size, 0);
  }

  wipeDisk(i: number): void {
    rmSync(this.folders[i]!, {recursive: true, force: true});
  }

  startEntry(
    name = 'e1',
    logger: Logger = silentLogger,
    pool?: UpstreamPool,
  ): EntryNode {
    const entry = new EntryNode({
      instance: instanceId(name),
      zone: zoneId('z0'),
      ...(this.relay && {relay: this.relay}),
      seeds: this.seedAddresses,
      decodeConfig: this.decodeConfig,
      logger,
      nowMs,
      onRouteTable: () => undefined,
      onTargetChange: () => undefined,
      usesAdmission: this.usesAdmission,
      nextLeaderWaitMs: NEXT_LEADER_WAIT_MS,
      ...(pool && {pool}),
    });
    this.entries.push(entry);
    entry.start();
    return entry;
  }

  /**
   * Sends a configuration to daemon `i` until it is accepted, as an operator
   * does.
   */
  async putConfig(
    i: number,
    version: number,
    document = String(version),
  ): Promise<void> {
    const command = {kind: 'put_config' as const, version, document};
    await until(`version ${version} is accepted`, async () => {
      return (await this.controls.get(i)!.change(command)) === 'accepted';
    });
  }

  async readVersion(i: number): Promise<number | undefined> {
    return (await this.controls.get(i)!.readNewest())?.version;
  }

  leaderIndex(): number | undefined {
    for (const [i, node] of this.controls) if (node.isLeader) return i;
    return undefined;
  }

  async close(): Promise<void> {
    for (const entry of this.entries) entry.stop();
    for (const i of [...this.controls.keys()]) await this.stop(i);
    rmSync(this.root, {recursive: true, force: true});
  }
}

/** Closes all connections of an entry to control daemons, as a reset does. */
export function resetLinks(entry: EntryNode): void {
  for (const peer of entry['controls']['links'].connectedPeers()) peer.close();
}

export function createAnnouncement(
  changed: Partial<TargetAnnouncement> = {},
): TargetAnnouncement {
  return {
    id: targetId('i-1'),
    bornMs: 1,
    sequence: 1,
    service: SERVICE,
    host: '127.0.0.1',
    port: 1,
    zone: zoneId('z0'),
    slots: 4,
    state: 'ready',
    coldLeftMs: 0,
    ...changed,
  };
}
