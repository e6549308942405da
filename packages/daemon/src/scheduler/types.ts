/** Admission of requests to targets. */
import type {
  Fingerprint,
  RequestId,
  ServiceRule,
  TargetId,
  WorkspaceRule,
} from '@samphirefield/core';
import type {EnqueueError} from '@samphirefield/policy';
import type {EntryTarget, ActiveRun} from '../entry/index.js';

export interface AdmissionRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceRule;
  readonly service: ServiceRule;
  /** Empty for a plain service. */
  readonly model: string;
  readonly modelVersion: string;
  readonly fingerprint: Fingerprint;
  /** The parts of the prompt that other requests may share. */
  readonly promptParts: readonly Fingerprint[];
  /** Hash of the start of the prompt, for prefix affinity; empty without it. */
  readonly prefix: string;
  readonly promptTokens: number;
  /** 0 for a plain service. */
  readonly maxOutputTokens: number;
  /** Targets that must not be chosen. */
  readonly excluded: ReadonlySet<TargetId>;
  readonly signal: AbortSignal;
}

/** A reservation on a target, held until it is released. */
export interface Admission {
  readonly target: EntryTarget;
  readonly run: ActiveRun;
}

export type AdmissionError =
  | EnqueueError
  | {readonly kind: 'waited_too_long'; readonly waitedMs: number}
  | {readonly kind: 'no_view_lease'}
  | {readonly kind: 'quarantined'}
  | {readonly kind: 'caller_left'};
