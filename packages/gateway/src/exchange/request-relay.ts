/**
 * Relays one request through another entry. Peers are tried one after another
 * as long as none can have run the request; then it goes to no further one.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ServiceId} from '@samphirefield/core';
import {KIND_TRAITS} from '../routes/index.js';
import type {NextStep} from './classify-result.js';
import {serializeRequest} from './http-message.js';
import {RelayAttempt, type RelayResult} from './relay-attempt.js';
import {markRefused, writeRelayHeaders} from './relay-protocol.js';
import type {RelayedOrigin, RelayPeer} from './relay-types.js';
import type {RequestRecord} from './request-record.js';
import type {AdmittedRequest} from './reservation.js';
import type {RunAllowance} from './run-allowance.js';
import type {GatewayDependencies, RequestMetadata} from './types.js';

const CONNECT_TIMEOUT_MS = 250;
/** Peers that may fail; one that refuses does so in one round trip. */
const MAX_FAILED_PEERS = 3;
/** The caller's next attempt reaches another entry. */
const OTHER_ENTRY_AFTER_MS = 50;

/** What happens to the request once it was relayed, or could not be. */
export type RelayedStep = Exclude<NextStep, {kind: 'retry'}>;

export interface RequestRelayOptions {
  readonly deps: GatewayDependencies;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly record: RequestRecord;
  /** Set when another entry relays the request; it is relayed once only. */
  readonly origin: RelayedOrigin | undefined;
  readonly remainingMs: () => number;
}

function notRun(reason: string, retryAfterMs?: number): RelayedStep {
  return {kind: 'own', response: {kind: 'not_run', reason, retryAfterMs}};
}

export class RequestRelay {
  private attempt: RelayAttempt | undefined;
  private isCancelled = false;

  constructor(private readonly options: RequestRelayOptions) {}

  /** Whether a peer may have run the request. */
  get mayHaveRun(): boolean {
    return this.attempt?.isSent ?? false;
  }

  cancel(): void {
    this.isCancelled = true;
    this.attempt?.cancel();
  }

  /**
   * Whether this entry cannot send a request to the service at present. One that
   * does not relay tries its targets nevertheless.
   */
  isNeeded(service: ServiceId): boolean {
    const {deps, origin} = this.options;
    if (origin === undefined && deps.relayPeers === undefined) return false;
    return deps.reachability?.isCutOff(service) ?? false;
  }

  /** Whether no target could be reached, so that nothing has run. */
  isNeededAfter(
    step: NextStep,
    {runCount, hasAttemptLeft}: RunAllowance,
    service: ServiceId,
  ): boolean {
    const {record, res} = this.options;
    const lacks = step.kind === 'own' ? step.lacks : undefined;
    const canFollow = step.kind === 'retry' || lacks !== undefined;
    if (!canFollow || runCount > 0 || res.headersSent) return false;
    if (this.isNeeded(service)) return true;
    const isFinal = lacks === 'target' || !hasAttemptLeft;
    const wasUnreached = record.unreached === record.attempts;
    return isFinal && record.attempts > 0 && wasUnreached;
  }

  async run(admitted: AdmittedRequest): Promise<RelayedStep> {
    const {deps, origin, res} = this.options;
    if (origin) {
      markRefused(res, origin.relayId);
      return notRun('no target can be reached');
    }
    const candidates = deps.relayPeers?.candidates(admitted.service) ?? [];
    let refusedCount = 0;
    let failedCount = 0;
    for (const peer of candidates) {
      if (this.isCancelled || failedCount >= MAX_FAILED_PEERS) break;
      const result = await this.tryPeer(peer, admitted);
      if (result.kind !== 'not_run') return this.stepAfter(result);
      this.attempt = undefined;
      if (result.failure === 'refused') refusedCount += 1;
      if (result.failure === 'failed') failedCount += 1;
    }
    // Where other entries reach no target either, another one does not help.
    return notRun(
      'no target can be reached, also through other entries',
      refusedCount > 0 ? undefined : OTHER_ENTRY_AFTER_MS,
    );
  }

  private stepAfter(
    result: Exclude<RelayResult, {kind: 'not_run'}>,
  ): RelayedStep {
    if (result.kind === 'passed_on')
      return {kind: 'done', status: result.status};
    if (result.kind === 'ended' || result.hasStarted)
      return {kind: 'broken_off'};
    const {reason} = result;
    return {kind: 'own', response: {kind: 'outcome_unknown', reason}};
  }

  private async tryPeer(
    peer: RelayPeer,
    {route, body, service}: AdmittedRequest,
  ): Promise<RelayResult> {
    const {deps, req, res, metadata, record, remainingMs} = this.options;
    const {instance: entry, protocol, relayPeers} = deps;
    const relayId = randomUUID();
    const startedAtMs = deps.nowMs();
    const writeRequest = () => {
      const {token} = peer;
      const stateIndex = deps.activeConfig()?.view.index ?? 0;
      const hop = {
        relayId,
        entry,
        token,
        stateIndex,
        remainingMs: remainingMs(),
      };
      return serializeRequest(req, body, () => true, writeRelayHeaders(hop));
    };
    const attempt = new RelayAttempt({
      peer,
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, remainingMs()),
      relayId,
      writeRequest,
      res,
      protocol,
      attemptId: metadata.attemptId,
      isStreamed: KIND_TRAITS[route.kind].isStreamed,
      callerLastEventId: route.isResumable ? metadata.lastEventId : undefined,
      onSilent: () => relayPeers?.noteSilent(peer),
      onSign: () => relayPeers?.noteAlive(peer),
    });
    this.attempt = attempt;
    record.relayedTo = peer.instance;
    const result = await attempt.result;
    record.responseStartedAtMs = attempt.headSentAtMs;
    const failure = result.kind === 'not_run' ? result.failure : undefined;
    const hasFailed = failure === 'failed' || result.kind === 'lost';
    if (failure === 'refused') relayPeers?.noteRefused(peer, service);
    if (hasFailed) relayPeers?.noteFailed(peer);
    if (attempt.isSilent) relayPeers?.noteSilent(peer);
    this.log(peer, relayId, result, startedAtMs);
    return result;
  }

  private log(
    peer: RelayPeer,
    relayId: string,
    result: RelayResult,
    startedAtMs: number,
  ): void {
    const {deps, metadata} = this.options;
    const headSentAtMs = this.attempt?.headSentAtMs;
    const outcome = result.kind === 'not_run' ? result.failure : result.kind;
    deps.logger.info('relay', {
      request: metadata.attemptId,
      relay: relayId,
      peer: peer.instance,
      zone: peer.zone,
      outcome,
      silent: this.attempt?.isSilent || undefined,
      status: result.kind === 'passed_on' ? result.status : undefined,
      reason: 'reason' in result ? result.reason : undefined,
      first_ms: headSentAtMs && Math.round(headSentAtMs - startedAtMs),
      took_ms: Math.round(deps.nowMs() - startedAtMs),
    });
    deps.observeRelay?.(outcome);
  }
}
