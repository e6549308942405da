/**
 * Targets that announce themselves to the control daemons, state things of
 * themselves in their answers, and crash when they begin to run a deadly
 * request, to start again a while later.
 */
import type {Socket} from 'node:net';
import {
  targetId,
  zoneId,
  type ServiceId,
  type TargetId,
  type ZoneId,
} from '@samphirefield/core';
import type {VersionId} from '@samphirefield/gateway';
import {findFreePort} from '@samphirefield/core/testing';
import {
  completeResponse,
  startScriptedTargetAt,
  type ScriptedTarget,
} from '@samphirefield/gateway/testing';
import {until, type TestCluster} from './cluster.js';

const HOST = '127.0.0.1';
const ANNOUNCE_EVERY_MS = 100;
const RESTART_AFTER_MS = 500;
const SLOTS = 8;

/** As what a target comes back. */
export type Comeback =
  'same_id' | 'same_id_without_start' | 'other_id' | 'other_address';

export interface TestTargetsOptions {
  readonly cluster: TestCluster;
  readonly services: readonly ServiceId[];
  readonly perService: number;
  readonly isDeadly: (head: string, body: string) => boolean;
  readonly comeback: Comeback;
  /** A target ends without a reset of its connections. */
  readonly isSilentEnd?: boolean;
  /** Called for each request that is answered, with the target's position. */
  readonly onRun?: (position: number, attempt: string) => void;
  /** How long a target runs a request. Default: it answers at once. */
  readonly runMs?: number;
  /** Answers a request in place of the target. */
  readonly respond?: (position: number, head: string, socket: Socket) => void;
  /** A line of the head with which the target rejects; undefined: it runs. */
  readonly rejectionOf?: (position: number) => string | undefined;
  /** The version that the target at a position announces. */
  readonly versionOf?: (position: number) => VersionId | undefined;
  readonly zoneOf?: (position: number) => ZoneId;
  /** Slots that each target announces; default: 8. */
  readonly slots?: number;
  /** Whether the target at a position answers the next request with a failure. */
  readonly isFailing?: (position: number) => boolean;
  /** Further lines of the head of a response of the target at a position. */
  readonly headOf?: (position: number) => readonly string[];
}

interface Place {
  readonly service: ServiceId;
  readonly name: string;
  starts: number;
  id: TargetId;
  bornMs: number;
  sequence: number;
  port: number;
  server: ScriptedTarget | undefined;
}

export class TestTargets {
  /** One item for each crash, in order. */
  readonly crashed: TargetId[] = [];
  private readonly places: Place[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly dead: ScriptedTarget[] = [];

  private constructor(private readonly options: TestTargetsOptions) {}

  static async start(options: TestTargetsOptions): Promise<TestTargets> {
    const targets = new TestTargets(options);
    for (const service of options.services) {
      for (let i = 0; i < options.perService; i += 1) {
        const place: Place = {
          service,
          name: `${service}-${i}`,
          starts: 0,
          id: targetId(''),
          bornMs: 0,
          sequence: 0,
          port: 0,
          server: undefined,
        };
        targets.places.push(place);
        await targets.startPlace(place);
      }
    }
    targets.timers.push(
      setInterval(() => targets.announceAll(), ANNOUNCE_EVERY_MS),
    );
    return targets;
  }

  get areAllUp(): boolean {
    return this.places.every(place => place.server !== undefined);
  }

  get ids(): readonly TargetId[] {
    return this.places.map(place => place.id);
  }

  /** Ends the target at this position, as a crash does. */
  crash(position: number): void {
    this.end(this.places[position]!);
  }

  /** Ends the target at this position for good. */
  leave(position: number): void {
    const place = this.places[position]!;
    place.server?.close();
    place.server = undefined;
  }

  /** Ends the target at this position and waits for its next start. */
  async restart(position: number): Promise<void> {
    this.crash(position);
    await until('the target is back', () => this.areAllUp);
  }

  close(): void {
    for (const timer of this.timers) clearTimeout(timer);
    for (const {server} of this.places) server?.close();
    for (const server of this.dead) server.close();
  }

  private async startPlace(place: Place): Promise<void> {
    const {comeback} = this.options;
    place.starts += 1;
    const keepsId = comeback === 'same_id' || comeback.startsWith('same_id_');
    place.id = targetId(
      keepsId ? place.name : `${place.name}-start-${place.starts}`,
    );
    const hasStartTime = comeback !== 'same_id_without_start';
    place.bornMs = hasStartTime ? Date.now() : 0;
    place.sequence = 0;
    const keepsPort = comeback !== 'other_address' && place.port !== 0;
    const port = keepsPort ? place.port : await findFreePort(HOST);
    const server: ScriptedTarget = await startScriptedTargetAt(
      port,
      ({head, body, socket}) => {
        if (place.server !== server) return;
        if (this.options.isDeadly(head, body)) this.end(place);
        else this.answer(place, head, socket);
      },
    );
    place.server = server;
    place.port = server.port;
    this.announce(place);
  }

  private answer(place: Place, head: string, socket: Socket): void {
    const {onRun, headOf} = this.options;
    const position = this.places.indexOf(place);
    const attempt = /^attempt: (.*)$/im.exec(head)?.[1]?.trim() ?? '';
    onRun?.(position, attempt);
    if (this.options.respond) {
      this.options.respond(position, head, socket);
      return;
    }
    const lines = [`Attempt: ${attempt}`, ...(headOf?.(position) ?? [])];
    const rejection = this.options.rejectionOf?.(position);
    if (rejection === undefined) {
      const isFailing = this.options.isFailing?.(position) ?? false;
      const response = isFailing
        ? completeResponse('', lines, '500 Failure')
        : completeResponse('done', lines);
      const respond = () => socket.write(response);
      this.afterRun(respond);
      return;
    }
    const rejected = [...lines, 'Not-Run: 1', rejection];
    socket.write(completeResponse('', rejected, '503 Busy'));
  }

  private afterRun(respond: () => void): void {
    const {runMs = 0} = this.options;
    if (runMs === 0) respond();
    else this.timers.push(setTimeout(respond, runMs));
  }

  private end(place: Place): void {
    const {server} = place;
    if (server === undefined) return;
    this.crashed.push(place.id);
    place.server = undefined;
    if (this.options.isSilentEnd) this.dead.push(server);
    else server.close();
    this.timers.push(
      setTimeout(() => {
        server.close();
        void this.startPlace(place);
      }, RESTART_AFTER_MS),
    );
  }

  private announceAll(): void {
    for (const place of this.places) {
      if (place.server) this.announce(place);
    }
  }

  private announce(place: Place): void {
    const {cluster, versionOf, zoneOf, slots = SLOTS} = this.options;
    const [control] = cluster.controls.values();
    const position = this.places.indexOf(place);
    const version = versionOf?.(position);
    place.sequence += 1;
    control?.announce({
      id: place.id,
      bornMs: place.bornMs,
      sequence: place.sequence,
      service: place.service,
      host: HOST,
      port: place.port,
      zone: zoneOf?.(position) ?? zoneId('z0'),
      ...(version !== undefined && {version}),
      slots,
      state: 'ready',
      coldLeftMs: 0,
    });
  }
}
