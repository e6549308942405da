/** A call of a plain service. */
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
  /** Set for a request that may not be repeated. */
  readonly idempotencyKey: string | undefined;
}

/** The whole answer of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}
