/** Types of the queue of requests that wait for a target. */
import type {RequestId, WorkspaceId} from '@samphirefield/core';

export interface QueuedRequest {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  readonly weight: number;
  /** A level from 0 up; 0 goes first. */
  readonly priority: number;
  /** Expected work of the request, in tokens. */
  readonly costTokens: number;
  readonly enqueuedAtMs: number;
}

/** The waiting requests of one workspace. */
interface WorkspaceFlow {
  /** Virtual time at which the workspace's latest request finishes. */
  finishTime: number;
  readonly waiting: Map<RequestId, StampedRequest>;
}

/** A queued request with its virtual start time. */
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
