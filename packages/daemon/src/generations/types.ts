/** Types of a caller's generation: the request, response events and the sink. */
import type {
  Fingerprint,
  GenerationId,
  ModelRule,
  RequestId,
  ServiceRule,
  WorkspaceRule,
} from '@samphirefield/core';
import type {ApiError} from '../http/index.js';

export interface GenerationRequest {
  readonly id: RequestId;
  readonly workspace: WorkspaceRule;
  readonly service: ServiceRule;
  readonly model: ModelRule;
  readonly path: string;
  /** The body sent to the target: the caller's, with `stream` set to true. */
  readonly body: string;
  readonly isStreamed: boolean;
  readonly isChat: boolean;
  readonly fingerprint: Fingerprint;
  /** The messages before the last, which other requests may share. */
  readonly promptParts: readonly Fingerprint[];
  /** Hash of the prompt's prefix; empty for a service without prefix affinity. */
  readonly prefixHash: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** One event of the response, in order and ready to be forwarded. */
export interface ResponseEvent {
  readonly generation: GenerationId;
  readonly sequence: number;
  readonly data: string;
}

/** Writes the response to the caller, as a stream or as one body. */
export interface ResponseSink {
  /** Whether output was forwarded, so that the caller would notice a repeat. */
  readonly hasForwarded: boolean;
  /** Sets the generation's location, which resume tokens contain. */
  begin(location: GenerationLocation): void;
  /** Returns false when the caller reads too slowly; then wait for `onDrain`. */
  forward(events: readonly ResponseEvent[]): boolean;
  onDrain(resume: () => void): void;
  finish(): void;
  fail(error: ApiError): void;
  /** Discards the output of a generation that another one replaces. */
  reset(): void;
}

/** Where a generation runs; signed in resume tokens. */
export interface GenerationLocation {
  readonly target: string;
  readonly incarnation: string;
  readonly generation: GenerationId;
  readonly workspace: string;
  readonly service: string;
}
