/**
 * Plays overlapping faults on a small deployment, drawn from a seed: targets
 * crash, leave or state limits, entries and control daemons restart, disks are
 * full, links are reset, the configuration changes. At most one control daemon
 * is hurt at a time.
 */
import type {TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {serviceId, silentLogger} from '@samphirefield/core';
import {call} from '@samphirefield/gateway/testing';
import {resetLinks, until, type TestCluster} from './cluster.js';
import {
  KEYS,
  startEntryGateway,
  startRoutedCluster,
  targetsAreKnown,
  type EntryGateway,
} from './gateways.js';
import {TestTargets} from './test-targets.js';

const PLAY_MS = 8_000;
const CALL_EVERY_MS = 15;
const PAUSE_MIN_MS = 150;
const PAUSE_MAX_MS = 600;
const HURT_MIN_MS = 200;
const HURT_MAX_MS = 900;
const TARGETS = 4;
const RUN_MS = 30;
const LIMIT_PER_S = 4;
const LIMIT_WINDOW_MS = 2_000;
/** What the users allow of a limit in any window. */
const LIMIT_ALLOWED = 1.5 * LIMIT_PER_S * (LIMIT_WINDOW_MS / 1_000) + 5;
/** After this time a statement binds everybody. */
const STATED_AFTER_MS = 1_000;
/** Of the calls after the faults this share is served. */
const SERVED_SHARE = 0.9;
const CALLS_AFTER = 60;

export interface FaultReport {
  /** Every promise that was broken, with what was seen. */
  readonly broken: readonly string[];
  readonly served: number;
}

interface Run {
  readonly attempt: string;
  readonly position: number;
  readonly atMs: number;
}

interface Answer {
  readonly attempt: string;
  readonly status: number;
  readonly echoed: string | undefined;
}

/** A statement of a target, and when it began and ended. */
interface Stated {
  readonly position: number;
  readonly fromMs: number;
  untilMs: number;
}

class FaultMix {
  private readonly random;
  private readonly runs: Run[] = [];
  private readonly answers: Answer[] = [];
  private readonly leavings: Stated[] = [];
  private readonly limits: Stated[] = [];
  private readonly heads: string[][] = [[], [], [], []];
  private readonly pending: Array<Promise<void>> = [];
  private version = 1;
  private acceptedVersion = 1;
  private calls = 0;
  private starts = 0;
  private isControlHurt = false;
  private readonly broken: string[] = [];

  private constructor(
    seed: number,
    private readonly cluster: TestCluster,
    private readonly gateways: EntryGateway[],
    private targets: TestTargets,
  ) {
    this.random = xoroshiro128plus(seed);
  }

  static async create(t: TestContext, seed: number): Promise<FaultMix> {
    const services = [serviceId('desk')];
    const routed = {
      kind: 'unsafe' as const,
      services,
      isEngine: seed % 2 === 0,
    };
    const {cluster, gateways} = await startRoutedCluster(
      t,
      routed,
      silentLogger,
    );
    const mix: {current?: FaultMix} = {};
    const targets = await TestTargets.start({
      cluster,
      services,
      perService: TARGETS,
      isDeadly: () => false,
      comeback: 'same_id',
      runMs: RUN_MS,
      onRun: (position, attempt) => mix.current?.onRun(position, attempt),
      headOf: position => mix.current?.heads[position] ?? [],
    });
    t.after(() => targets.close());
    mix.current = new FaultMix(seed, cluster, gateways, targets);
    await targetsAreKnown(targets, gateways);
    return mix.current;
  }

  async play(): Promise<FaultReport> {
    const endsAtMs = performance.now() + PLAY_MS;
    const callers = this.callUntil(endsAtMs);
    while (performance.now() < endsAtMs) {
      this.startFault();
      await delay(this.draw(PAUSE_MIN_MS, PAUSE_MAX_MS));
    }
    await callers;
    await Promise.all(this.pending);
    await this.recover();
    this.check();
    const served = this.answers.filter(({status}) => status === 200).length;
    return {broken: this.broken, served};
  }

  private draw(from: number, to: number): number {
    return uniformInt(this.random, from, to);
  }

  private onRun(position: number, attempt: string): void {
    this.runs.push({attempt, position, atMs: performance.now()});
  }

  private async callUntil(endsAtMs: number): Promise<void> {
    while (performance.now() < endsAtMs) {
      this.pending.push(this.callOnce().then(() => undefined));
      await delay(CALL_EVERY_MS);
    }
  }

  private async callOnce(): Promise<number> {
    this.calls += 1;
    const attempt = `a${this.calls}`;
    const gateway = this.gateways[this.calls % this.gateways.length]!;
    const headers = {key: KEYS[0], 'deadline-ms': '3000'};
    const request = {attemptId: attempt, body: attempt, path: '/x', headers};
    const answer = await call(gateway.port, request).then(
      ({status, headers: {attempt: echoed}}) => ({
        attempt,
        status,
        echoed: echoed as string | undefined,
      }),
      () => ({attempt, status: 0, echoed: undefined}),
    );
    this.answers.push(answer);
    return answer.status;
  }

  private startFault(): void {
    const faults = [
      () => this.crashTarget(),
      () => this.leave(),
      () => this.limit(),
      () => this.restartEntry(),
      () => this.resetLinks(),
      () => this.hurtControl(i => this.restartControl(i)),
      () => this.hurtControl(i => this.fillDisk(i)),
      () => this.change(),
    ];
    const fault = faults[this.draw(0, faults.length - 1)]!;
    this.pending.push(fault());
  }

  private drawTarget(): number {
    return this.draw(0, TARGETS - 1);
  }

  private async crashTarget(): Promise<void> {
    const position = this.drawTarget();
    this.endStatements(position);
    this.targets.crash(position);
    await delay(0);
  }

  /** A target says that it leaves, and starts anew a while later. */
  private async leave(): Promise<void> {
    const position = this.drawTarget();
    if (this.heads[position]!.length > 0) return;
    this.heads[position] = ['Leaving: 1'];
    const stated = {position, fromMs: performance.now(), untilMs: Infinity};
    this.leavings.push(stated);
    await delay(this.draw(HURT_MIN_MS, HURT_MAX_MS) * 3);
    if (stated.untilMs !== Infinity) return;
    this.endStatements(position);
    this.targets.crash(position);
  }

  private async limit(): Promise<void> {
    const position = this.drawTarget();
    if (this.heads[position]!.length > 0) return;
    this.heads[position] = [`Limit: ${LIMIT_PER_S}`];
    const stated = {position, fromMs: performance.now(), untilMs: Infinity};
    this.limits.push(stated);
    await delay(this.draw(HURT_MIN_MS, HURT_MAX_MS) * 4);
    if (stated.untilMs === Infinity) this.endStatements(position);
  }

  private endStatements(position: number): void {
    this.heads[position] = [];
    for (const stated of [...this.leavings, ...this.limits]) {
      if (stated.position === position)
        stated.untilMs = Math.min(stated.untilMs, performance.now());
    }
  }

  private async restartEntry(): Promise<void> {
    const position = this.draw(0, this.gateways.length - 1);
    this.starts += 1;
    const name = `e${position + 1}-${this.starts}`;
    const next = await startEntryGateway(this.cluster, name, silentLogger);
    const [previous] = this.gateways.splice(position, 1, next);
    previous!.close();
  }

  private async resetLinks(): Promise<void> {
    const position = this.draw(0, this.gateways.length - 1);
    resetLinks(this.gateways[position]!.entry);
    await delay(0);
  }

  private async hurtControl(hurt: (i: number) => Promise<void>): Promise<void> {
    if (this.isControlHurt) return;
    this.isControlHurt = true;
    const i = this.draw(0, 2);
    await hurt(i);
    // A replica that is back counts again once it has caught up.
    await until('the daemon has caught up', async () => {
      const version = await this.cluster.readVersion(i);
      return (version ?? 0) >= this.acceptedVersion;
    });
    this.isControlHurt = false;
  }

  private async restartControl(i: number): Promise<void> {
    await this.cluster.stop(i);
    await delay(this.draw(HURT_MIN_MS, HURT_MAX_MS));
    await this.cluster.start(i, false);
  }

  private async fillDisk(i: number): Promise<void> {
    const disk = this.cluster.disk(i);
    disk.isFull = true;
    await delay(this.draw(HURT_MIN_MS, HURT_MAX_MS));
    disk.isFull = false;
  }

  private async change(): Promise<void> {
    this.version += 1;
    const {version} = this;
    const nodes = [...this.cluster.controls.values()];
    const node = nodes[this.draw(0, nodes.length - 1)]!;
    const document = String(version);
    const outcome = await node.change({kind: 'put_config', version, document});
    if (outcome !== 'accepted') return;
    this.acceptedVersion = Math.max(this.acceptedVersion, version);
  }

  /** All faults are over: callers are served and changes are accepted. */
  private async recover(): Promise<void> {
    for (let position = 0; position < TARGETS; position += 1)
      this.endStatements(position);
    await targetsAreKnown(this.targets, this.gateways);
    for (const i of [0, 1, 2]) {
      await until(`daemon ${i} reads what was accepted`, async () => {
        const version = await this.cluster.readVersion(i);
        return (version ?? 0) >= this.acceptedVersion;
      });
    }
    const statuses: number[] = [];
    for (let i = 0; i < CALLS_AFTER; i += 1)
      statuses.push(await this.callOnce());
    const served = statuses.filter(status => status === 200).length;
    if (served < CALLS_AFTER * SERVED_SHARE)
      this.broken.push(`${served} of ${CALLS_AFTER} served after the faults`);
    this.version += 1;
    await this.cluster.putConfig(0, this.version);
  }

  private check(): void {
    const runsOf = new Map<string, number>();
    for (const {attempt} of this.runs)
      runsOf.set(attempt, (runsOf.get(attempt) ?? 0) + 1);
    for (const [attempt, count] of runsOf) {
      if (count > 1) this.broken.push(`${attempt} ran ${count} times`);
    }
    for (const {attempt, status, echoed} of this.answers) {
      const hasRun = runsOf.has(attempt);
      if (status === 503 && hasRun)
        this.broken.push(`${attempt} ran and was refused as not run`);
      if (status === 200 && !hasRun)
        this.broken.push(`${attempt} was answered and never ran`);
      if (status === 200 && echoed !== attempt)
        this.broken.push(`${attempt} got the answer of ${echoed}`);
    }
    this.checkLeavings();
    this.checkLimits();
  }

  private runsWhile({position, fromMs, untilMs}: Stated): Run[] {
    return this.runs.filter(
      run =>
        run.position === position && run.atMs >= fromMs && run.atMs < untilMs,
    );
  }

  private checkLeavings(): void {
    for (const stated of this.leavings) {
      const [first] = this.runsWhile(stated);
      const fromMs = (first?.atMs ?? Infinity) + STATED_AFTER_MS;
      const late = this.runsWhile({...stated, fromMs});
      if (late.length > 0)
        this.broken.push(`${late.length} requests at a target that left`);
    }
  }

  private checkLimits(): void {
    for (const stated of this.limits) {
      const [first] = this.runsWhile(stated);
      const fromMs = (first?.atMs ?? Infinity) + STATED_AFTER_MS;
      const late = this.runsWhile({...stated, fromMs});
      for (const {atMs} of late) {
        const untilMs = atMs + LIMIT_WINDOW_MS;
        const count = late.filter(
          run => run.atMs >= atMs && run.atMs < untilMs,
        ).length;
        if (count <= LIMIT_ALLOWED) continue;
        this.broken.push(`${count} requests in a window of a limited target`);
        break;
      }
    }
  }
}

export async function playFaults(
  t: TestContext,
  seed: number,
): Promise<FaultReport> {
  const mix = await FaultMix.create(t, seed);
  return mix.play();
}
