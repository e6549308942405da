/** One caller's generation, from the request to the last event. */
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
  /** The body for the target: the caller's, always streamed. */
  readonly body: string;
  readonly isStreamed: boolean;
  readonly isChat: boolean;
  readonly fingerprint: Fingerprint;
  readonly prefixHash: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** One event of the answer, ready to be passed on. */
export interface ResponseEvent {
  readonly generation: GenerationId;
  readonly sequence: number;
  readonly data: string;
}

/** Where the answer goes: a stream to the caller, or one whole body. */
export interface ResponseSink {
  /** Whether a repeated generation would be seen by the caller. */
  readonly hasForwarded: boolean;
  /** Names the generation's place, for the caller's resume tokens. */
  begin(location: GenerationLocation): void;
  /** Returns false when the caller reads too slowly; then wait for `onDrain`. */
  forward(events: readonly ResponseEvent[]): boolean;
  onDrain(resume: () => void): void;
  finish(): void;
  fail(error: ApiError): void;
  /** Forgets a generation that will be replaced by another one. */
  reset(): void;
}

/** Where a generation runs: what a resume token seals. */
export interface GenerationLocation {
  readonly target: string;
  readonly incarnation: string;
  readonly generation: GenerationId;
  readonly workspace: string;
  readonly service: string;
}
