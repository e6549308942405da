/**
 * The life of one request: route, workspace, body, a place on a target, the
 * sending, and another target where the kind of the request allows it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  requestId,
  type RequestId,
  type ServiceId,
  type TargetId,
  type WorkspaceId,
} from '@samphirefield/core';
import type {RunOutcome} from '../dispatch/index.js';
import {
  moveRun,
  type Destination,
  type MoveResult,
  type ResumePoint,
} from '../moves/index.js';
import {KIND_TRAITS, pickService, type Route} from '../routes/index.js';
import {readBody} from './body.js';
import {statusOf, writeOwnAnswer} from './own-answer.js';
import {writeRequest} from './request-text.js';
import type {UpstreamAddress, UpstreamConnection} from '../upstream/index.js';
import type {AnswerSink} from './answer-sink.js';
import {send, type Sending, type SendResult} from './send.js';
import type {GatewayParts, OwnAnswer, RequestFacts} from './types.js';

const CONNECT_TIMEOUT_MS = 400;
/** Sendings of one request, counting those that a target rejected. */
const MAX_SENDINGS = 4;
/** Share of the objective that a request waits for a place that fits it. */
const PATIENCE_SHARE = 0.3;
/** Share of the time left that a request waits for any place. */
const MAX_WAIT_SHARE = 0.6;
const RETRY_AFTER_MS = 400;
const RETRY_AFTER_SHARE = 0.3;
/** Expected output as a share of the stated maximum, without a hint. */
const OUTPUT_SHARE = 0.6;
/** Of a generation's output, what it holds on average while it runs. */
const HELD_OUTPUT_SHARE = 0.6;
const DEFAULT_DEADLINE_MS = 60_000;
const MIN_LEFT_MS = 1;
/** How much emptier a target in another availability zone has to be. */
const OTHER_ZONE_PENALTY = 0.06;
/** Memory takes twice as long to another zone, on a link that others need. */
const MOVE_ZONE_PENALTY = 0.5;

let runCounter = 0;

interface Admitted {
  readonly route: Route;
  readonly service: ServiceId;
  readonly workspace: WorkspaceId | undefined;
  readonly priority: number;
  readonly body: Buffer;
}

/** Where a request runs. */
interface Place {
  readonly target: TargetId;
  readonly address: UpstreamAddress;
  readonly run: RequestId;
}

interface PlaceWatch {
  /** The run has ended here; returns the move that was begun. */
  end(): Promise<MoveResult | undefined> | undefined;
}

type Step =
  | {readonly kind: 'done'; readonly status: number}
  | {readonly kind: 'own'; readonly answer: OwnAnswer}
  | {readonly kind: 'retry'; readonly last: OwnAnswer; readonly counts: boolean}
  | {readonly kind: 'broken_off'};

export class Exchange {
  private readonly startedAtMs: number;
  private readonly facts: RequestFacts;
  private endsAtMs: number;
  private isOver = false;
  private sending: Sending | undefined;
  private timer: NodeJS.Timeout | undefined;
  private waitingRun: {request: RequestId; service: ServiceId} | undefined;
  private readonly excluded: TargetId[] = [];
  private runs = 0;
  private sendings = 0;
  private waitedMs = 0;
  private moves = 0;
  private lastTarget: TargetId | undefined;

  constructor(
    private readonly parts: GatewayParts,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    this.startedAtMs = parts.nowMs();
    this.facts = parts.protocol.readRequest(req.headers);
    this.endsAtMs =
      this.startedAtMs + (this.facts.deadlineMs ?? DEFAULT_DEADLINE_MS);
  }

  async run(): Promise<void> {
    this.res.on('close', () => this.onClose());
    const admitted = await this.admit();
    if (admitted === undefined) return;
    this.endsAtMs = Math.min(
      this.endsAtMs,
      this.startedAtMs + admitted.route.timeoutMs,
    );
    this.timer = setTimeout(() => this.onTimeout(), this.leftMs());
    try {
      await this.serve(admitted);
    } finally {
      clearTimeout(this.timer);
    }
  }

  private leftMs(): number {
    return this.endsAtMs - this.parts.nowMs();
  }

  private async admit(): Promise<Admitted | undefined> {
    const inForce = this.parts.inForce();
    if (inForce === undefined) return this.refuse({kind: 'not_configured'});
    const {index, view} = inForce;
    const host = (this.req.headers.host ?? '').split(':')[0]!.toLowerCase();
    const path = (this.req.url ?? '/').split('?')[0]!;
    const route = index.findRoute(host, path);
    if (route === undefined) return this.refuse({kind: 'no_route'});
    const needsKey = index.needsKeys && !route.isPublic;
    const {key} = this.facts;
    const workspace = key === undefined ? undefined : index.findWorkspace(key);
    if (needsKey && workspace === undefined) {
      return this.refuse({kind: 'unknown_key'});
    }
    const body = await readBody(this.req, view.table.limits.maxBodyBytes);
    if (body.isErr()) {
      if (body.error === 'too_large') this.refuse({kind: 'body_too_large'});
      return undefined;
    }
    return {
      route,
      service: pickService(route, this.parts.random()),
      workspace: workspace?.name,
      priority: workspace?.priority ?? route.priority,
      body: body.value,
    };
  }

  private refuse(answer: OwnAnswer): undefined {
    if (this.isOver) return undefined;
    this.isOver = true;
    const shareMs = Math.max(0, this.leftMs()) * RETRY_AFTER_SHARE;
    if (!this.req.complete) this.res.setHeader('connection', 'close');
    writeOwnAnswer(this.res, answer, Math.min(RETRY_AFTER_MS, shareMs));
    this.log(
      answer.kind,
      statusOf(answer),
      'reason' in answer ? answer.reason : undefined,
    );
    return undefined;
  }

  private async serve(admitted: Admitted): Promise<void> {
    this.parts.budget.noteRequest(admitted.service);
    for (;;) {
      const step = await this.attempt(admitted);
      if (this.isOver) return;
      if (step.kind === 'done') {
        this.isOver = true;
        this.log('served', step.status);
        return;
      }
      if (step.kind === 'broken_off') {
        this.isOver = true;
        this.log('broken_off', 0);
        this.res.destroy();
        return;
      }
      if (step.kind === 'own') {
        this.refuse(step.answer);
        return;
      }
      const isSpent =
        this.sendings >= MAX_SENDINGS ||
        (step.counts && !this.parts.budget.tryTake(admitted.service));
      if (isSpent) {
        this.refuse(step.last);
        return;
      }
    }
  }

  /** One place on a target, and what came of it. */
  private async attempt(admitted: Admitted): Promise<Step> {
    const {parts} = this;
    const run = requestId(`${parts.instance}/${++runCounter}`);
    const {service, route} = admitted;
    this.waitingRun = {request: run, service};
    const askedAtMs = parts.nowMs();
    const answer = await parts.placer.place({
      request: run,
      service,
      entry: parts.instance,
      zone: parts.zone,
      otherZonePenalty: OTHER_ZONE_PENALTY,
      kvTokens: this.expectedKvTokens(),
      priority: admitted.priority,
      patienceMs: route.objectiveMs * PATIENCE_SHARE,
      maxWaitMs: Math.max(0, this.leftMs()) * MAX_WAIT_SHARE,
      excluded: this.excluded,
    });
    this.waitingRun = undefined;
    this.waitedMs += parts.nowMs() - askedAtMs;
    const finish = (outcome: RunOutcome) =>
      parts.placer.finish(run, service, outcome);
    if (answer.kind === 'refused') {
      return {kind: 'own', answer: {kind: 'not_run', reason: answer.reason}};
    }
    if (this.isOver) {
      finish('abandoned');
      return {kind: 'broken_off'};
    }
    const {outcome, step} = await this.sendTo(answer.target, admitted, run);
    finish(outcome);
    return step;
  }

  private expectedKvTokens(): number {
    const {promptTokens, maxOutputTokens, hintedOutputTokens} = this.facts;
    const outputTokens = hintedOutputTokens ?? maxOutputTokens * OUTPUT_SHARE;
    return promptTokens + outputTokens * HELD_OUTPUT_SHARE;
  }

  private async sendTo(
    id: TargetId,
    admitted: Admitted,
    run: RequestId,
  ): Promise<{outcome: RunOutcome; step: Step}> {
    const {parts} = this;
    this.lastTarget = id;
    const record = parts.placer.findTarget(id);
    const retry = (reason: string, counts: boolean): Step => ({
      kind: 'retry',
      last: {kind: 'not_run', reason},
      counts,
    });
    this.excluded.push(id);
    if (record === undefined) {
      return {outcome: 'abandoned', step: retry('the target has gone', false)};
    }
    const {host, port} = record.announcement;
    const timeoutMs = Math.min(CONNECT_TIMEOUT_MS, this.leftMs());
    const pooled = await parts.pool.acquire({host, port}, timeoutMs);
    if (pooled === undefined) {
      this.sendings += 1;
      return {
        outcome: 'not_connected',
        step: retry('the target cannot be reached', false),
      };
    }
    if (this.isOver) {
      pooled.connection.destroy();
      return {outcome: 'abandoned', step: {kind: 'broken_off'}};
    }
    this.sendings += 1;
    const sending = this.startSending(
      pooled.connection,
      admitted,
      id,
      undefined,
    );
    const result = await this.follow(sending, admitted, {
      target: id,
      address: {host, port},
      run,
    });
    this.sending = undefined;
    return this.judge(result, admitted.route);
  }

  private startSending(
    connection: UpstreamConnection,
    admitted: Admitted,
    target: TargetId,
    goesOn: {sink: AnswerSink; resume: ResumePoint} | undefined,
  ): Sending {
    const {protocol} = this.parts;
    const ownHeaders = protocol.writeSendFacts({
      target,
      workspace: admitted.workspace,
      leftMs: Math.max(MIN_LEFT_MS, Math.floor(this.leftMs())),
      resume: goesOn?.resume,
      lastEventId: goesOn?.sink.events?.lastEventId,
    });
    this.sending = send({
      connection,
      request: writeRequest(
        this.req,
        admitted.body,
        name => protocol.isPassedOn(name),
        ownHeaders,
      ),
      attempt: this.facts.attempt,
      res: this.res,
      protocol,
      isStreamed: KIND_TRAITS[admitted.route.kind].isStreamed,
      goesOn: goesOn?.sink,
    });
    return this.sending;
  }

  /** Waits for the end of an answer, wherever its generation goes meanwhile. */
  private async follow(
    first: Sending,
    admitted: Admitted,
    start: Place,
  ): Promise<SendResult> {
    let sending = first;
    let place = start;
    let held: Destination | undefined;
    for (;;) {
      const watch = this.watchPlace(place, admitted, sending);
      const result = await sending.result;
      const moving = watch.end();
      if (result.kind !== 'lost' || moving === undefined || this.isOver) {
        void moving?.then(moved => this.dropMove(moved));
        held?.release(result.kind === 'passed_on');
        return result;
      }
      const moved = await moving;
      const next = moved && (await this.resume(moved, sending, admitted));
      held?.release(true);
      if (next === undefined) return result;
      this.parts.placer.finish(place.run, admitted.service, 'served');
      held = moved?.destination;
      const {target, address} = moved!.resume;
      this.lastTarget = target;
      place = {target, address, run: place.run};
      sending = next;
    }
  }

  /** Starts a move when the target says that it leaves. */
  private watchPlace(
    place: Place,
    admitted: Admitted,
    sending: Sending,
  ): PlaceWatch {
    const {parts} = this;
    let moving: Promise<MoveResult | undefined> | undefined;
    let hasEnded = false;
    const {attempt} = this.facts;
    const engine = parts.inForce()?.index.findService(admitted.service)?.engine;
    if (!engine?.canMove || attempt === undefined) {
      return {end: () => undefined};
    }
    const stopWatching = parts.placer.onLeaving(place.target, () => {
      const holder = requestId(`${parts.instance}/${++runCounter}`);
      moving = moveRun({
        attempt,
        hasStarted: () => sending.hasStarted(),
        takeTurn: () => parts.placer.takeMoveTurn(place.target, holder),
        endTurn: () => parts.placer.endMoveTurn(place.target, holder),
        source: place,
        mover: parts.mover,
        findDestination: excluded => this.findDestination(admitted, excluded),
        isOver: () => this.isOver || hasEnded,
        log: (step, fields) => {
          const source = place.target;
          parts.logger.info('move', {
            request: attempt,
            step,
            source,
            ...fields,
          });
        },
      });
    });
    return {
      end: () => {
        hasEnded = true;
        stopWatching();
        return moving;
      },
    };
  }

  private async findDestination(
    admitted: Admitted,
    excluded: readonly TargetId[],
  ): Promise<Destination | undefined> {
    const {placer} = this.parts;
    const run = requestId(`${this.parts.instance}/${++runCounter}`);
    const {service} = admitted;
    const source = placer.findTarget(excluded[0]!);
    const answer = await placer.place({
      request: run,
      service,
      entry: this.parts.instance,
      zone: source?.announcement.zone ?? this.parts.zone,
      otherZonePenalty: MOVE_ZONE_PENALTY,
      kvTokens: this.expectedKvTokens(),
      priority: admitted.priority,
      patienceMs: 0,
      maxWaitMs: 0,
      excluded,
    });
    if (answer.kind === 'refused') return undefined;
    const release = (isUsed: boolean) =>
      placer.finish(run, service, isUsed ? 'served' : 'abandoned');
    const record = placer.findTarget(answer.target);
    if (record === undefined) {
      release(false);
      return undefined;
    }
    const {host, port} = record.announcement;
    return {target: answer.target, address: {host, port}, release};
  }

  private async resume(
    moved: MoveResult,
    before: Sending,
    admitted: Admitted,
  ): Promise<Sending | undefined> {
    const sink = before.sink();
    const {resume} = moved;
    const pooled = await this.parts.pool.acquire(
      resume.address,
      CONNECT_TIMEOUT_MS,
    );
    if (pooled === undefined || this.isOver) {
      pooled?.connection.destroy();
      moved.destination?.release(false);
      return undefined;
    }
    this.moves += 1;
    const goesOn = sink && {sink, resume};
    return this.startSending(
      pooled.connection,
      admitted,
      resume.target,
      goesOn,
    );
  }

  /** Frees what a move prepared when it turned out not to be needed. */
  private dropMove(moved: MoveResult | undefined): void {
    if (moved === undefined) return;
    moved.destination?.release(false);
    this.parts.mover.drop(moved.resume.from, moved.resume.handle);
  }

  /** What a sending's end means for the target and for the request. */
  private judge(
    result: SendResult,
    route: Route,
  ): {outcome: RunOutcome; step: Step} {
    const {mayRepeat} = KIND_TRAITS[route.kind];
    switch (result.kind) {
      case 'passed_on':
        return {outcome: 'served', step: {kind: 'done', status: result.status}};
      case 'not_run': {
        const reason = result.isMisdirected
          ? 'another target has the address'
          : 'the target rejected it';
        const last: OwnAnswer = {kind: 'not_run', reason};
        return {
          outcome: 'rejected',
          step: {kind: 'retry', last, counts: true},
        };
      }
      case 'failed': {
        this.runs += 1;
        if (mayRepeat && this.runs < route.maxRuns) {
          const last: OwnAnswer = {
            kind: 'outcome_unknown',
            reason: `the target answered ${result.status}`,
          };
          return {outcome: 'failed', step: {kind: 'retry', last, counts: true}};
        }
        result.sink.end();
        return {
          outcome: 'failed',
          step: {kind: 'done', status: result.status},
        };
      }
      case 'lost': {
        this.runs += 1;
        if (result.hasStarted) {
          return {outcome: 'failed', step: {kind: 'broken_off'}};
        }
        const last: OwnAnswer = {
          kind: 'outcome_unknown',
          reason: result.error.reason,
        };
        const isRepeated = mayRepeat && this.runs < route.maxRuns;
        return {
          outcome: 'failed',
          step: isRepeated
            ? {kind: 'retry', last, counts: true}
            : {kind: 'own', answer: last},
        };
      }
      case 'ended':
        return {outcome: 'abandoned', step: {kind: 'broken_off'}};
    }
  }

  private onClose(): void {
    if (this.res.writableFinished || this.isOver) return;
    this.isOver = true;
    this.log('caller_left', 0);
    this.abandon();
  }

  private onTimeout(): void {
    if (this.isOver) return;
    const {sending} = this;
    if (sending?.hasStarted()) {
      this.isOver = true;
      this.log('timed_out_midway', 0);
      this.res.destroy();
    } else if (sending) {
      this.refuse({kind: 'timed_out'});
    } else {
      this.refuse({kind: 'not_run', reason: 'no place in time'});
    }
    this.abandon();
  }

  private abandon(): void {
    this.sending?.cancel();
    const {waitingRun} = this;
    if (waitingRun) {
      this.parts.placer.finish(
        waitingRun.request,
        waitingRun.service,
        'abandoned',
      );
    }
  }

  private log(outcome: string, status: number, reason?: string): void {
    this.parts.logger.info('request', {
      request: this.facts.attempt,
      outcome,
      status,
      reason,
      target: this.lastTarget,
      sendings: this.sendings,
      moves: this.moves,
      waited_ms: Math.round(this.waitedMs),
      took_ms: Math.round(this.parts.nowMs() - this.startedAtMs),
      view: this.parts.inForce()?.view.index,
    });
  }
}
