/**
 * Talks to the operators' API of any entry. A command keeps its id over all
 * tries, so that it is carried out once however often it is sent.
 */
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';

export type ClientError =
  | {readonly kind: 'unauthorized'}
  /** No entry answered: a command may or may not have been carried out. */
  | {readonly kind: 'unreachable'; readonly reasons: readonly string[]};

export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

const TRY_TIMEOUT_MS = 10_000;
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

  /** Tries each entry in turn, twice, until one has an answer. */
  private async send(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
  ): Promise<Result<OperatorResponse, ClientError>> {
    const reasons: string[] = [];
    for (const entry of [...this.entries, ...this.entries]) {
      const answer = await this.sendTo(entry, method, path, body);
      if (answer.isErr()) {
        reasons.push(`${entry}: ${answer.error}`);
        continue;
      }
      if (answer.value.status === HTTP_UNAUTHORIZED) {
        return err({kind: 'unauthorized'});
      }
      if (answer.value.status !== HTTP_UNAVAILABLE) return ok(answer.value);
      reasons.push(`${entry}: no leader answered`);
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
        signal: AbortSignal.timeout(TRY_TIMEOUT_MS),
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
