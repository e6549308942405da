/**
 * Admits a request before it asks for a target: finds its route and workspace,
 * reads its body, and refuses what cannot be served.
 */
import type {IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {leaseOf, type ServiceId, type WorkspaceId} from '@samphirefield/core';
import {traitsOf, type RequestContent} from '@samphirefield/policy/quarantine';
import {shortDigest} from '../quarantine/index.js';
import {pickService, type Route} from '../routes/index.js';
import {findAccess} from './access.js';
import {readBody} from './body.js';
import {canFinishBeforeStop} from './planned-stop.js';
import {QuarantineGuard} from './quarantine-guard.js';
import type {AdmittedRequest} from './reservation.js';
import type {
  ActiveConfig,
  GatewayDependencies,
  LocalResponse,
  RequestMetadata,
} from './types.js';

const CONFIG_WAIT_MAX_MS = 1_500;
/** Share of its remaining time that a request waits for a configuration. */
const CONFIG_WAIT_SHARE = 0.6;
const CONFIG_POLL_MS = 25;

const NO_MEMORY: LocalResponse = {
  kind: 'not_run',
  reason: 'no memory for the body of the request',
};

export interface AdmissionOptions {
  readonly deps: GatewayDependencies;
  readonly req: IncomingMessage;
  readonly metadata: RequestMetadata;
  readonly startedAtMs: number;
  /** When the caller stops waiting. */
  readonly endsAtMs: number;
  /** Whether the request has its final response or its caller disconnected. */
  readonly isOver: () => boolean;
  /** Ends the request with this response. */
  readonly refuse: (response: LocalResponse) => undefined;
}

/** Returns undefined when the request is over. */
export async function admitRequest(
  options: AdmissionOptions,
): Promise<AdmittedRequest | undefined> {
  const {deps, req, metadata, refuse, isOver} = options;
  const activeConfig = await waitForConfiguration(options);
  if (isOver()) return undefined;
  if (activeConfig === undefined) return refuse({kind: 'not_configured'});
  const {routeIndex, view} = activeConfig;
  const access = findAccess(routeIndex, req, metadata.apiKey);
  if (access.isErr()) return refuse(access.error);
  const {route, workspace} = access.value;
  if (workspace) leaseOf(req.socket).join(`key ${workspace.name}`);
  const body = await readBodyInTime(options, view.table.limits.maxBodyBytes);
  if (isOver()) return undefined;
  if (body.isErr()) {
    if (body.error === 'too_large') refuse({kind: 'body_too_large'});
    if (body.error === 'no_memory') refuse(NO_MEMORY);
    return undefined;
  }
  const timeoutAtMs = options.startedAtMs + route.timeoutMs;
  const endsAtMs = Math.min(options.endsAtMs, timeoutAtMs);
  const stopRefusal = refuseBeforeStop(deps, metadata, route, endsAtMs);
  if (stopRefusal) return refuse(stopRefusal);
  const service = pickService(route, deps.random());
  const quarantine = createQuarantineGuard(
    options,
    service,
    workspace?.name,
    body.value,
  );
  const refusal = quarantine.refuse();
  if (refusal) return refuse(refusal);
  return {
    route,
    service,
    workspace: workspace?.name,
    priority: workspace?.priority ?? route.priority,
    body: body.value,
    quarantine,
  };
}

/**
 * Waits because a process receives its configuration shortly after its start.
 */
async function waitForConfiguration({
  deps,
  startedAtMs,
  endsAtMs,
}: AdmissionOptions): Promise<ActiveConfig | undefined> {
  const remainingMs = endsAtMs - deps.nowMs();
  const waitMs = Math.min(CONFIG_WAIT_MAX_MS, remainingMs * CONFIG_WAIT_SHARE);
  const untilMs = startedAtMs + waitMs;
  while (deps.activeConfig() === undefined && deps.nowMs() < untilMs) {
    await delay(CONFIG_POLL_MS);
  }
  return deps.activeConfig();
}

async function readBodyInTime(
  {deps, req, endsAtMs, refuse}: AdmissionOptions,
  maxBytes: number,
) {
  const timer = setTimeout(
    () => refuse({kind: 'request_timeout'}),
    endsAtMs - deps.nowMs(),
  );
  const body = await readBody(req, maxBytes);
  clearTimeout(timer);
  return body;
}

function createQuarantineGuard(
  {deps, metadata, req}: AdmissionOptions,
  service: ServiceId,
  workspace: WorkspaceId | undefined,
  body: Buffer,
): QuarantineGuard {
  const content: RequestContent = {
    service,
    method: req.method ?? '',
    url: req.url ?? '',
    workspace,
    bodyDigest: shortDigest(body),
    sharedPromptParts: metadata.sharedPromptParts,
  };
  const traits = traitsOf(content, shortDigest);
  return new QuarantineGuard(deps, metadata, {service, traits});
}

/** Undefined if a run can end before this process does. */
export function refuseBeforeStop(
  {plannedStop, nowMs}: GatewayDependencies,
  {maxOutputTokens}: RequestMetadata,
  {objectiveMs}: Route,
  endsAtMs: number,
): LocalResponse | undefined {
  const run = {objectiveMs, maxOutputTokens, endsAtMs};
  if (canFinishBeforeStop(run, plannedStop(), nowMs())) return undefined;
  return {
    kind: 'not_run',
    reason: 'would not finish before this process stops',
  };
}
