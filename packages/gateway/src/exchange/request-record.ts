/** What happened to one request so far, for its log lines and metrics. */
import type {
  InstanceId,
  RequestId,
  ServiceId,
  TargetId,
} from '@samphirefield/core';
import type {RunOutcome} from '../dispatch/index.js';
import type {ConnectOutcome, UpstreamConnection} from '../upstream/index.js';
import type {NextStep} from './classify-result.js';
import type {Reservation} from './reservation.js';
import type {GatewayDependencies} from './types.js';

export interface RequestRecord {
  readonly attemptId: string | undefined;
  readonly startedAtMs: number;
  service: ServiceId | undefined;
  lastTarget: TargetId | undefined;
  lastRun: RequestId | undefined;
  /** How the connection for the last attempt came about; undefined: not yet. */
  lastConnect: ConnectOutcome | 'kept' | undefined;
  /** Local port of the connection on which the request was sent last. */
  lastPort: number | undefined;
  /** How often the request was written to a target. */
  sendings: number;
  /** Attempts, including those that a target rejected. */
  attempts: number;
  /** Attempts whose target could not be connected to. */
  unreached: number;
  /** The entry that the request was relayed to last. */
  relayedTo: InstanceId | undefined;
  moves: number;
  /** Runs that continued a started stream without its KV cache. */
  resumes: number;
  /** Time spent waiting for targets. */
  waitedMs: number;
  responseStartedAtMs: number | undefined;
}

export function createRequestRecord(
  attemptId: string | undefined,
  startedAtMs: number,
): RequestRecord {
  return {
    attemptId,
    startedAtMs,
    service: undefined,
    lastTarget: undefined,
    lastRun: undefined,
    lastConnect: undefined,
    lastPort: undefined,
    sendings: 0,
    attempts: 0,
    unreached: 0,
    relayedTo: undefined,
    moves: 0,
    resumes: 0,
    waitedMs: 0,
    responseStartedAtMs: undefined,
  };
}

export function logFailedAttempt(
  deps: GatewayDependencies,
  {attemptId, lastRun, lastTarget, lastConnect, lastPort}: RequestRecord,
  outcome: RunOutcome,
  nextStep: NextStep,
): void {
  const record = lastTarget && deps.reservations.findTarget(lastTarget);
  const response =
    nextStep.kind === 'retry' ? nextStep.responseIfFinal : undefined;
  deps.logger.info('try_failed', {
    request: attemptId,
    run: lastRun,
    target: lastTarget,
    target_state: record?.announcement.state ?? 'unknown',
    target_age_ms: record && Math.round(deps.nowMs() - record.lastSeenAtMs),
    connection: lastConnect,
    local_port: lastPort,
    outcome,
    next: nextStep.kind,
    reason: response && 'reason' in response ? response.reason : undefined,
  });
}

/** Notes that the request is sent; logs each sending after the first. */
export function recordSending(
  deps: GatewayDependencies,
  record: RequestRecord,
  {target, address}: Reservation,
  {localPort}: UpstreamConnection,
): void {
  record.sendings += 1;
  record.lastPort = localPort;
  if (record.sendings === 1) return;
  deps.logger.info('sent_again', {
    request: record.attemptId,
    target,
    address: `${address.host}:${address.port}`,
    local_port: localPort,
    times: record.sendings,
  });
}

/** Logs and counts a run that continues a started stream. */
export function recordResume(
  deps: GatewayDependencies,
  record: RequestRecord,
  lastEventId: number | undefined,
): void {
  record.resumes += 1;
  deps.logger.info('resume', {
    request: record.attemptId,
    run: record.lastRun,
    target: record.lastTarget,
    after_event: lastEventId,
    resumes: record.resumes,
  });
}

/** Logs the end of the request and counts it in the metrics. */
export function recordEnd(
  deps: GatewayDependencies,
  record: RequestRecord,
  outcome: string,
  status: number,
  reason?: string,
): void {
  const {service, attempts, moves, resumes} = record;
  const {startedAtMs, responseStartedAtMs} = record;
  const waitedMs = Math.round(record.waitedMs);
  const durationMs = Math.round(deps.nowMs() - startedAtMs);
  deps.logger.info('request', {
    request: record.attemptId,
    run: record.lastRun,
    outcome,
    status,
    reason,
    service,
    target: record.lastTarget,
    connection: record.lastConnect,
    relayed_to: record.relayedTo,
    sendings: attempts,
    moves,
    resumes: resumes || undefined,
    waited_ms: waitedMs,
    first_ms:
      responseStartedAtMs && Math.round(responseStartedAtMs - startedAtMs),
    took_ms: durationMs,
    view: deps.activeConfig()?.view.index,
  });
  deps.observe({
    outcome,
    status,
    service,
    durationMs,
    waitedMs,
    attempts,
    moves,
    resumes,
  });
}
