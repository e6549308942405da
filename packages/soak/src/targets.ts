/**
 * Targets of a soak: plain ones, and engines whose streams can be moved. They
 * crash, leave, fall silent and answer with odd bytes when they are told to, and
 * record what they ran.
 */
import type {Socket} from 'node:net';
import {findFreePort} from '@samphirefield/core/testing';
import {
  chunk,
  completeResponse,
  startScriptedTargetAt,
  STREAM_END,
  type ReceivedRequest,
  type ScriptedTarget,
} from '@samphirefield/gateway/testing';
import {Generation} from './generation.js';
import type {ControlCaller} from './operator.js';
import {answerOddly, CopiedRefusals} from './odd-answers.js';
import {eventText} from './streams.js';
import {chance, pick, type Draw} from './schedule.js';
import type {
  MoveOrder,
  RunRecord,
  SoakDialect,
  TargetRequest,
} from './types.js';

const HEARTBEAT_CHECK_MS = 300;
const SLOTS = 24;
const MIN_WORK_MS = 10;
const MAX_WORK_MS = 120;
const COPY_MS = 30;
const RESTART_MS = 1_200;
/** A target serves on after the acknowledgement that it leaves. */
const SERVES_ON_MS = 1_000;
const FAILED_PERCENT = 3;
const ODD_PERCENT = 50;
/** Part of the refusals that are written once more. */
const COPIED_PERCENT = 50;
const MOVED = '200 OK';
/** Part of the last copies that are answered as ordered. */
const MOVED_PERCENT = 50;

interface TargetPlace {
  readonly service: string;
  readonly isEngine: boolean;
  readonly zone: string;
  readonly port: number;
  id: string;
  starts: number;
  bornMs: number;
  sequence: number;
  server: ScriptedTarget | undefined;
  isDraining: boolean;
  isSilent: boolean;
  isOdd: boolean;
  running: number;
}

/** What a copy leads to; a handle is used once. */
interface Copy {
  readonly generation: Generation;
  readonly destination: string;
}

export interface TargetFleetOptions {
  readonly dialect: SoakDialect;
  readonly draw: Draw;
  readonly control: ControlCaller;
  readonly plainServices: readonly string[];
  readonly engineService: string;
  readonly perService: number;
  readonly zones: readonly string[];
  readonly drainMs: number;
  /**
   * Whether a target may stop a run for its last copy and then answer that it
   * has no such run.
   */
  readonly mayDenyStoppedRuns: boolean;
}

const addressOf = (place: TargetPlace) => `127.0.0.1:${place.port}`;

export class TargetFleet {
  readonly runs: RunRecord[] = [];
  /** How often the last copy of a move was ordered. */
  lastCopies = 0;
  private readonly places: TargetPlace[] = [];
  private readonly generations = new Map<string, Generation>();
  private readonly copies = new Map<string, Copy>();
  private readonly refusals = new CopiedRefusals();
  private readonly timers = new Set<NodeJS.Timeout>();
  private isClosed = false;

  private constructor(private readonly options: TargetFleetOptions) {}

  static async start(options: TargetFleetOptions): Promise<TargetFleet> {
    const fleet = new TargetFleet(options);
    const {plainServices, engineService, perService, zones} = options;
    for (const service of [...plainServices, engineService]) {
      for (let i = 0; i < perService; i += 1) {
        const zone = zones[i % zones.length]!;
        const isEngine = service === engineService;
        await fleet.addPlace(service, isEngine, zone);
      }
    }
    const beat = setInterval(() => fleet.announceAll(), HEARTBEAT_CHECK_MS);
    fleet.timers.add(beat);
    return fleet;
  }

  get ports(): readonly number[] {
    return this.places.map(({port}) => port);
  }

  async crash(position: number): Promise<void> {
    const place = this.places[position]!;
    if (place.server === undefined) return;
    this.end(place);
    await this.wait(RESTART_MS);
    await this.startPlace(place);
  }

  async leave(position: number): Promise<void> {
    const place = this.places[position]!;
    const {server} = place;
    if (server === undefined || place.isDraining) return;
    place.isDraining = true;
    await this.announce(place);
    await this.wait(this.options.drainMs + SERVES_ON_MS);
    if (place.server !== server) return;
    await this.options.control(this.options.dialect.deregistration(place.id));
    this.end(place);
    await this.wait(RESTART_MS);
    await this.startPlace(place);
  }

  /** Makes a target silent, or its answers odd, for this time. */
  async disturb(
    position: number,
    how: 'isSilent' | 'isOdd',
    forMs: number,
  ): Promise<void> {
    const place = this.places[position]!;
    place[how] = true;
    await this.wait(forMs);
    place[how] = false;
  }

  close(): void {
    this.isClosed = true;
    for (const timer of this.timers) clearTimeout(timer);
    for (const place of this.places) this.end(place);
  }

  private async addPlace(service: string, isEngine: boolean, zone: string) {
    const place: TargetPlace = {
      service,
      isEngine,
      zone,
      port: await findFreePort('127.0.0.1'),
      id: '',
      starts: 0,
      bornMs: 0,
      sequence: 0,
      server: undefined,
      isDraining: false,
      isSilent: false,
      isOdd: false,
      running: 0,
    };
    this.places.push(place);
    await this.startPlace(place);
  }

  private async startPlace(place: TargetPlace): Promise<void> {
    if (this.isClosed || place.server) return;
    place.starts += 1;
    place.id = `t${place.port}-${place.starts}`;
    place.bornMs = Date.now();
    place.sequence = 0;
    place.isDraining = false;
    place.running = 0;
    place.server = await startScriptedTargetAt(place.port, request =>
      this.answer(place, place.starts, request),
    );
    if (this.isClosed) this.end(place);
  }

  private end(place: TargetPlace): void {
    for (const {socket} of place.server?.received ?? [])
      socket.resetAndDestroy();
    place.server?.close();
    place.server = undefined;
    for (const run of this.runs) {
      if (run.target !== place.id || run.end !== 'running') continue;
      this.generations.get(run.attempt)?.crash();
      run.end = 'target';
      run.endedAtMs = performance.now();
    }
    for (const [handle, copy] of this.copies) {
      if (copy.destination === addressOf(place)) this.copies.delete(handle);
    }
  }

  private announceAll(): void {
    for (const place of this.places) {
      if (place.server) void this.announce(place);
    }
  }

  private async announce(place: TargetPlace): Promise<void> {
    const {dialect, control} = this.options;
    place.sequence += 1;
    const {id, service, zone, isDraining, sequence, bornMs} = place;
    const address = addressOf(place);
    const state = {id, service, zone, isDraining, sequence, bornMs, address};
    await control(dialect.heartbeat({...state, slots: SLOTS}));
  }

  private wait(ms: number): Promise<void> {
    return new Promise(resolve => this.after(ms, resolve));
  }

  private after(ms: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, ms);
    this.timers.add(timer);
  }

  /** Calls back after the work, once the target is not silent. */
  private work(place: TargetPlace, ms: number, action: () => void): void {
    this.after(ms, () => {
      if (place.isSilent) this.work(place, MIN_WORK_MS, action);
      else action();
    });
  }

  private answer(
    place: TargetPlace,
    start: number,
    {head, body, socket}: ReceivedRequest,
  ): void {
    if (place.starts !== start) return;
    const {dialect, draw} = this.options;
    this.refusals.writeCopy(socket);
    const order = dialect.readMove(head, body);
    if (order) {
      this.work(place, COPY_MS, () => this.move(place, order, socket));
      return;
    }
    if (!head.startsWith('POST')) {
      socket.write(completeResponse(''));
      return;
    }
    const request = dialect.readRequest(head);
    const {attempt, target, handle} = request;
    const isOdd = place.isOdd && chance(draw, ODD_PERCENT);
    const reject = (status: string) =>
      this.refusals.write(
        socket,
        completeResponse('', dialect.notRunLines(attempt), status),
        chance(draw, COPIED_PERCENT),
      );
    if (target !== undefined && target !== place.id)
      reject(dialect.misdirectedStatus);
    else if (handle !== undefined) this.resume(place, request, socket, reject);
    else if (place.running >= SLOTS || isOdd) reject('503 Full');
    else if (place.isEngine) this.generate(place, attempt, body, socket);
    else this.runPlain(place, attempt, body, socket);
  }

  private beginRun(place: TargetPlace, attempt: string, requestBody: string) {
    const run: RunRecord = {
      attempt,
      target: place.id,
      service: place.service,
      signature: `s${this.runs.length}`,
      requestBody,
      startedAtMs: performance.now(),
      answer: undefined,
      end: 'running',
      endedAtMs: undefined,
    };
    this.runs.push(run);
    place.running += 1;
    return run;
  }

  private runPlain(
    place: TargetPlace,
    attempt: string,
    requestBody: string,
    socket: Socket,
  ): void {
    const {dialect, draw} = this.options;
    const run = this.beginRun(place, attempt, requestBody);
    const body = `${run.signature} ${requestBody}`;
    const lines = dialect.answerLines(attempt, run.signature);
    this.work(place, draw(MIN_WORK_MS, MAX_WORK_MS), () => {
      if (run.end !== 'running') return;
      place.running -= 1;
      run.endedAtMs = performance.now();
      if (place.isOdd && chance(this.options.draw, ODD_PERCENT)) {
        run.end = 'target';
        answerOddly(draw, run, {body, lines}, socket);
        return;
      }
      const isFailing = chance(this.options.draw, FAILED_PERCENT);
      run.end = 'whole';
      run.answer = {status: isFailing ? 500 : 200, body};
      if (isFailing) socket.write(completeResponse(body, lines, '500 Failure'));
      else this.writeFramed(body, lines, socket);
    });
  }

  /** Writes a whole response in one of the ways in which it may be framed. */
  private writeFramed(
    body: string,
    lines: readonly string[],
    socket: Socket,
  ): void {
    const head = (line: string) =>
      ['HTTP/1.1 200 OK', ...lines, line, '', ''].join('\r\n');
    switch (this.options.draw(0, 3)) {
      case 0:
        socket.end(head('Connection: close') + body);
        return;
      case 1:
        socket.write(head('Transfer-Encoding: chunked') + chunk(body));
        socket.write(STREAM_END);
        return;
      default:
        socket.write(completeResponse(body, lines));
    }
  }

  private generate(
    place: TargetPlace,
    attempt: string,
    body: string,
    socket: Socket,
  ): void {
    const {dialect, draw} = this.options;
    const run = this.beginRun(place, attempt, body);
    run.answer = {status: 200, body: ''};
    const generation = new Generation({
      run,
      draw,
      framing: pick(draw, ['chunks', 'connection']),
      isSilent: () => place.isSilent,
      onEnd: () => (place.running -= 1),
    });
    this.generations.set(attempt, generation);
    this.work(place, draw(MIN_WORK_MS, MAX_WORK_MS), () => {
      if (run.end !== 'running') return;
      const lines = dialect.answerLines(attempt, run.signature);
      if (socket.destroyed) {
        run.end = 'connection';
      } else if (place.isOdd && chance(this.options.draw, ODD_PERCENT)) {
        run.end = 'target';
        run.answer = undefined;
        place.running -= 1;
        const first = eventText(run.signature, 1, 1);
        answerOddly(draw, run, {body: first, lines}, socket);
      } else {
        generation.start(socket, lines, 0);
      }
    });
  }

  /** Goes on with a generation whose copy is here. */
  private resume(
    place: TargetPlace,
    {attempt, handle = '', lastEventId}: TargetRequest,
    socket: Socket,
    reject: (status: string) => void,
  ): void {
    const copy = this.copies.get(handle);
    const run = this.runs.find(other => other.attempt === attempt);
    if (copy?.destination !== addressOf(place) || run === undefined) {
      reject('503 No copy');
      return;
    }
    this.copies.delete(handle);
    const {generation} = copy;
    generation.isSilent = () => place.isSilent;
    const lines = this.options.dialect.answerLines(attempt, run.signature);
    generation.start(socket, lines, lastEventId);
  }

  private move(place: TargetPlace, order: MoveOrder, socket: Socket): void {
    const {dialect, draw} = this.options;
    const {attempt, destination, isLast} = order;
    const answer = (status: string, handle?: string) => {
      const made = this.generations.get(attempt)?.madeCount ?? 0;
      const body = dialect.moveAnswer(handle, made);
      const isCopied = status !== MOVED && chance(draw, COPIED_PERCENT);
      const text = completeResponse(body, [], status);
      this.refusals.write(socket, text, isCopied);
    };
    const generation = this.generations.get(attempt);
    if (!generation?.isRunning) {
      answer('404 No run');
      return;
    }
    const handle = `h${this.copies.size}-${draw(1, 1_000_000)}`;
    if (!isLast) {
      answer(MOVED, handle);
      return;
    }
    this.lastCopies += 1;
    generation.stopForCopy();
    if (chance(this.options.draw, MOVED_PERCENT)) {
      this.copies.set(handle, {generation, destination});
      answer(MOVED, handle);
      return;
    }
    switch (draw(0, 5)) {
      case 0:
        this.copies.set(handle, {generation, destination: addressOf(place)});
        answer('503 No room', handle);
        return;
      case 1:
        answer('503 No room');
        return;
      case 2:
        if (this.options.mayDenyStoppedRuns) answer('404 No run');
        else answer('409 Busy');
        return;
      case 3:
        answer('409 Busy');
        return;
      case 4:
        socket.write('odd bytes\r\n\r\n');
        return;
      default:
        socket.resetAndDestroy();
    }
  }
}
