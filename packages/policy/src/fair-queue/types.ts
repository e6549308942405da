/** Requests that wait for a target, by priority and workspace. */
import type {RequestId, WorkspaceId} from '@samphirefield/core';

export interface QueuedRequest {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  readonly weight: number;
  /** 0 goes first. */
  readonly priority: number;
  /** Work it is expected to bring, in tokens. */
  readonly costTokens: number;
  readonly enqueuedAtMs: number;
}

interface WorkspaceFlow {
  /** Virtual time at which its latest request finishes. */
  finishTime: number;
  readonly waiting: Map<RequestId, StampedRequest>;
}

export interface StampedRequest extends QueuedRequest {
  readonly startTime: number;
}

export interface FairQueue {
  virtualTime: number;
  readonly flows: Map<WorkspaceId, WorkspaceFlow>;
  size: number;
}

export type EnqueueError =
  | {readonly kind: 'queue_full'; readonly limit: number}
  | {readonly kind: 'workspace_queue_full'; readonly limit: number};
