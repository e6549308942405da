/**
 * Start-time fair queueing over workspaces: each gets its weight's share of a
 * crowded service, whatever the others send. Priorities go first, and waiting
 * raises a request's priority so that none starves.
 */
import {err, ok, type Result} from 'neverthrow';
import type {RequestId, WorkspaceId} from '@samphirefield/core';
import type {
  EnqueueError,
  FairQueue,
  QueuedRequest,
  StampedRequest,
} from './types.js';

/** Waiting this long raises a request by one level of priority. */
export const AGING_INTERVAL_MS = 3_000;

export function createQueue(): FairQueue {
  return {virtualTime: 0, flows: new Map(), size: 0};
}

export function waitingCount(queue: FairQueue, workspace: WorkspaceId): number {
  return queue.flows.get(workspace)?.waiting.size ?? 0;
}

export function enqueue(
  queue: FairQueue,
  request: QueuedRequest,
  maxQueue: number,
  maxOfWorkspace: number,
): Result<void, EnqueueError> {
  if (queue.size >= maxQueue) return err({kind: 'queue_full', limit: maxQueue});
  if (waitingCount(queue, request.workspace) >= maxOfWorkspace) {
    return err({kind: 'workspace_queue_full', limit: maxOfWorkspace});
  }
  const lane = queue.flows.get(request.workspace) ?? {
    finishTime: 0,
    waiting: new Map<RequestId, StampedRequest>(),
  };
  const startTime = Math.max(queue.virtualTime, lane.finishTime);
  lane.finishTime = startTime + request.costTokens / request.weight;
  lane.waiting.set(request.request, {...request, startTime});
  queue.flows.set(request.workspace, lane);
  queue.size += 1;
  return ok(undefined);
}

function effectivePriority(request: QueuedRequest, nowMs: number): number {
  const raised = Math.floor((nowMs - request.enqueuedAtMs) / AGING_INTERVAL_MS);
  return Math.max(0, request.priority - raised);
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

/** The first request of every workspace, in the order in which they should go. */
export function headsInOrder(
  queue: FairQueue,
  nowMs: number,
): readonly StampedRequest[] {
  const heads: StampedRequest[] = [];
  for (const lane of queue.flows.values()) {
    let head: StampedRequest | undefined;
    for (const request of lane.waiting.values()) {
      if (!head || goesBefore(request, head, nowMs)) head = request;
    }
    if (head) heads.push(head);
  }
  return heads.sort((a, b) => (goesBefore(a, b, nowMs) ? -1 : 1));
}

/** Takes a request out because it was started. */
export function dequeue(queue: FairQueue, request: StampedRequest): void {
  queue.virtualTime = Math.max(queue.virtualTime, request.startTime);
  removeRequest(queue, request.workspace, request.request);
}

/** Takes a request out, started or given up. */
export function removeRequest(
  queue: FairQueue,
  workspace: WorkspaceId,
  request: RequestId,
): boolean {
  const lane = queue.flows.get(workspace);
  if (!lane?.waiting.delete(request)) return false;
  queue.size -= 1;
  const isForgettable = lane.finishTime <= queue.virtualTime;
  if (lane.waiting.size === 0 && isForgettable) queue.flows.delete(workspace);
  return true;
}

/** Requests that have waited longer than `maxWaitMs`. */
export function overdueRequests(
  queue: FairQueue,
  nowMs: number,
  maxWaitMs: number,
): readonly StampedRequest[] {
  const late: StampedRequest[] = [];
  for (const lane of queue.flows.values()) {
    for (const request of lane.waiting.values()) {
      if (nowMs - request.enqueuedAtMs > maxWaitMs) late.push(request);
    }
  }
  return late;
}
