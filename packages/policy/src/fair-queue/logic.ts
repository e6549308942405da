/**
 * Start-time fair queueing over workspaces: on a service at capacity each
 * workspace gets a share by its weight, however much other workspaces send.
 * Priority comes before fairness, and waiting raises a request's priority (aging)
 * so that no request starves.
 */
import {err, ok, type Result} from 'neverthrow';
import type {RequestId, WorkspaceId} from '@samphirefield/core';
import type {
  EnqueueError,
  FairQueue,
  QueuedRequest,
  StampedRequest,
} from './types.js';

/** Waiting for this long raises a request's priority by one level. */
export const AGING_INTERVAL_MS = 3_000;

export function createQueue(): FairQueue {
  return {virtualTime: 0, flows: new Map(), size: 0};
}

/** Returns how many requests of a workspace wait. */
export function waitingCount(queue: FairQueue, workspace: WorkspaceId): number {
  return queue.flows.get(workspace)?.waiting.size ?? 0;
}

/**
 * Adds a request, or returns an error when `maxQueue` requests wait in total or
 * `maxPerWorkspace` of its workspace.
 */
export function enqueue(
  queue: FairQueue,
  request: QueuedRequest,
  maxQueue: number,
  maxPerWorkspace: number,
): Result<void, EnqueueError> {
  if (queue.size >= maxQueue) return err({kind: 'queue_full', limit: maxQueue});
  if (waitingCount(queue, request.workspace) >= maxPerWorkspace) {
    return err({kind: 'workspace_queue_full', limit: maxPerWorkspace});
  }
  const flow = queue.flows.get(request.workspace) ?? {
    finishTime: 0,
    waiting: new Map<RequestId, StampedRequest>(),
  };
  const startTime = Math.max(queue.virtualTime, flow.finishTime);
  flow.finishTime = startTime + request.costTokens / request.weight;
  flow.waiting.set(request.request, {...request, startTime});
  queue.flows.set(request.workspace, flow);
  queue.size += 1;
  return ok(undefined);
}

function effectivePriority(request: QueuedRequest, nowMs: number): number {
  const raisedLevels = Math.floor(
    (nowMs - request.enqueuedAtMs) / AGING_INTERVAL_MS,
  );
  return Math.max(0, request.priority - raisedLevels);
}

function goesBefore(
  left: StampedRequest,
  right: StampedRequest,
  nowMs: number,
): boolean {
  const byPriority =
    effectivePriority(left, nowMs) - effectivePriority(right, nowMs);
  if (byPriority !== 0) return byPriority < 0;
  return left.startTime < right.startTime;
}

/** Returns the next request of every workspace, in the order to start them. */
export function headsInOrder(
  queue: FairQueue,
  nowMs: number,
): readonly StampedRequest[] {
  const heads: StampedRequest[] = [];
  for (const flow of queue.flows.values()) {
    let head: StampedRequest | undefined;
    for (const request of flow.waiting.values()) {
      if (!head || goesBefore(request, head, nowMs)) head = request;
    }
    if (head) heads.push(head);
  }
  return heads.sort((a, b) => (goesBefore(a, b, nowMs) ? -1 : 1));
}

/** Removes a request that starts, and advances the virtual time. */
export function dequeue(queue: FairQueue, request: StampedRequest): void {
  queue.virtualTime = Math.max(queue.virtualTime, request.startTime);
  removeRequest(queue, request.workspace, request.request);
}

/** Removes a request, started or abandoned. Returns false if it isn't queued. */
export function removeRequest(
  queue: FairQueue,
  workspace: WorkspaceId,
  request: RequestId,
): boolean {
  const flow = queue.flows.get(workspace);
  if (!flow?.waiting.delete(request)) return false;
  queue.size -= 1;
  const hasNoBacklog = flow.finishTime <= queue.virtualTime;
  if (flow.waiting.size === 0 && hasNoBacklog) queue.flows.delete(workspace);
  return true;
}

/** Returns the requests that have waited for longer than `maxWaitMs`. */
export function overdueRequests(
  queue: FairQueue,
  nowMs: number,
  maxWaitMs: number,
): readonly StampedRequest[] {
  const overdue: StampedRequest[] = [];
  for (const flow of queue.flows.values()) {
    for (const request of flow.waiting.values()) {
      if (nowMs - request.enqueuedAtMs > maxWaitMs) overdue.push(request);
    }
  }
  return overdue;
}
