/** Types of a call to a plain service. */
import type {
  Fingerprint,
  RequestId,
  ServiceRule,
  WorkspaceRule,
} from '@samphirefield/core';

export interface PlainRequest {
  readonly id: RequestId;
  readonly workspace: WorkspaceRule;
  readonly service: ServiceRule;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly fingerprint: Fingerprint;
  /** Identifies the request whatever its query; empty if it has none. */
  readonly similar: readonly Fingerprint[];
  /** Set only for a request that must run at most once. */
  readonly idempotencyKey: string | undefined;
}

/** The complete response of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}
