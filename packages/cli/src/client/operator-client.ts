/**
 * Client of the operators' API, which every entry serves. A command keeps its
 * id over all attempts, so that it is applied once however often it is sent.
 */
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';

export type ClientError =
  | {readonly kind: 'unauthorized'}
  /** No entry responded: a command may or may not have been applied. */
  | {readonly kind: 'unreachable'; readonly reasons: readonly string[]};

export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

const ATTEMPT_TIMEOUT_MS = 10_000;
const HTTP_UNAUTHORIZED = 401;
const HTTP_UNAVAILABLE = 503;

export class OperatorClient {
  constructor(
    private readonly entries: readonly string[],
    private readonly key: string,
  ) {}

  get(path: string): Promise<Result<OperatorResponse, ClientError>> {
    return this.send('GET', path, undefined);
  }

  post(
    path: string,
    body: unknown,
  ): Promise<Result<OperatorResponse, ClientError>> {
    return this.send('POST', path, JSON.stringify(body));
  }

  /** Tries each entry in turn, up to twice, until one returns a result. */
  private async send(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
  ): Promise<Result<OperatorResponse, ClientError>> {
    const reasons: string[] = [];
    for (const entry of [...this.entries, ...this.entries]) {
      const response = await this.sendTo(entry, method, path, body);
      if (response.isErr()) {
        reasons.push(`${entry}: ${response.error}`);
        continue;
      }
      if (response.value.status === HTTP_UNAUTHORIZED) {
        return err({kind: 'unauthorized'});
      }
      if (response.value.status !== HTTP_UNAVAILABLE) return ok(response.value);
      reasons.push(`${entry}: no leader responded`);
    }
    return err({kind: 'unreachable', reasons});
  }

  private async sendTo(
    entry: string,
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
  ): Promise<Result<OperatorResponse, string>> {
    try {
      const response = await request(`${entry}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.key}`,
          'content-type': 'application/json',
        },
        body,
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      });
      return ok({
        status: response.statusCode,
        body: await response.body.json(),
      });
    } catch (error) {
      return err((error as Error).message);
    }
  }
}
