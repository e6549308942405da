/** Starts an attempt for a request: writes the request to a target. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import {StopOrder} from '../moves/index.js';
import {KIND_TRAITS} from '../routes/index.js';
import type {UpstreamConnection} from '../upstream/index.js';
import {serializeRequest} from './http-message.js';
import type {AdmittedRequest, Reservation} from './reservation.js';
import {createPaceProbe, type PaceProbe} from './pace-probe.js';
import type {ObservedRun} from './run-observer.js';
import type {StreamContinuation} from './run-supervisor.js';
import {startTargetAttempt, type TargetAttempt} from './target-attempt.js';
import type {GatewayDependencies, RequestMetadata} from './types.js';

/** The remaining time sent to a target is never less, so it is positive. */
const MIN_REMAINING_MS = 1;

export interface RunRequest {
  readonly deps: GatewayDependencies;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly admitted: AdmittedRequest;
  /** The caller has the events of its resumable stream up to this one. */
  readonly callerLastEventId: number | undefined;
  readonly remainingMs: number;
}

export function startRun(
  request: RunRequest,
  connection: UpstreamConnection,
  {target, bornMs}: Reservation,
  continuation: StreamContinuation | undefined,
  observedRun: ObservedRun | undefined,
): TargetAttempt {
  const {deps, req, res, metadata, admitted, callerLastEventId} = request;
  const {protocol, statements, targetLoads} = deps;
  const {route, service, workspace, body, quarantine} = admitted;
  const start = {target, bornMs};
  const sentAtMs = deps.nowMs();
  const gatewayHeaders = protocol.writeGatewayHeaders({
    target,
    workspace,
    remainingMs: Math.max(MIN_REMAINING_MS, Math.floor(request.remainingMs)),
    resume: continuation?.resume,
    lastEventId: continuation
      ? continuation.sink.events?.lastEventId
      : callerLastEventId,
  });
  return startTargetAttempt({
    connection,
    request: serializeRequest(
      req,
      body,
      name => protocol.isForwardedHeader(name),
      gatewayHeaders,
    ),
    attemptId: metadata.attemptId,
    res,
    protocol,
    isStreamed: KIND_TRAITS[route.kind].isStreamed,
    isResumable: route.isResumable,
    continuedSink: continuation?.sink,
    continuesRun: continuation?.resume !== undefined,
    callerLastEventId,
    onProven: () => quarantine.recordAnswer(),
    onAnswer: () => observedRun?.noteAnswer(deps.nowMs() - sentAtMs),
    onHead: ({stated, loads}) => {
      statements.hear(start, stated, sentAtMs);
      targetLoads.hearLoad(start, service, loads);
    },
    stopOrder: continuation?.stopOrder ?? new StopOrder(),
    probe: createProbe(request, start, continuation !== undefined),
  });
}

function createProbe(
  {deps, metadata, admitted: {route, service}}: RunRequest,
  start: TargetStart,
  isContinued: boolean,
): PaceProbe {
  return createPaceProbe({
    isStreamed: KIND_TRAITS[route.kind].isStreamed,
    isContinued,
    promptTokens: metadata.promptTokens,
    sentAtMs: performance.now(),
    record: sample =>
      deps.targetLoads.measure(start, {...sample, service, route: route.name}),
  });
}
