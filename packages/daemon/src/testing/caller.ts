/** Sends requests as a caller and reads complete responses. */
import {request} from 'undici';
import {API_KEY, type TestDaemon} from './deployment.js';

export interface CallerResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** One event of a streamed response. */
export interface CallerEvent {
  readonly id: string;
  readonly data: string;
  readonly isError: boolean;
}

export interface PostOptions {
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

export async function post(
  daemon: Pick<TestDaemon, 'callersUrl'>,
  path: string,
  body: unknown,
  options: PostOptions = {},
): Promise<CallerResponse> {
  const response = await request(`${daemon.callersUrl}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
      ...options.headers,
    },
    body: typeof body === 'string' ? body : JSON.stringify(body),
    signal: options.signal,
    headersTimeout: 120_000,
  });
  const {statusCode: status, headers} = response;
  return {status, headers, text: await response.body.text()};
}

export function generationBody(tokens: number, isStreamed: boolean, text = '') {
  return {
    model: 'large',
    stream: isStreamed,
    messages: [{role: 'user', content: `${text} length=${tokens}`}],
  };
}

export function parseEvents(text: string): CallerEvent[] {
  return text
    .split('\n\n')
    .filter(frame => frame.includes('data: '))
    .map(frame => {
      const lines = frame.split('\n');
      const field = (name: string) =>
        lines
          .find(line => line.startsWith(`${name}: `))
          ?.slice(name.length + 2) ?? '';
      return {
        id: field('id'),
        data: field('data'),
        isError: field('event') === 'error',
      };
    });
}

/** Returns the words of a streamed chat response and whether it is complete. */
export function parseStream(text: string): {
  readonly words: string[];
  readonly isDone: boolean;
  readonly error: string | undefined;
} {
  const events = parseEvents(text);
  const error = events.find(event => event.isError)?.data;
  const chunks = events.filter(
    event => !event.isError && event.data !== '[DONE]',
  );
  const words = chunks.map(event => {
    const chunk = JSON.parse(event.data) as {
      choices: Array<{delta: {content: string}}>;
    };
    return chunk.choices[0]!.delta.content.trim();
  });
  return {words, isDone: events.at(-1)?.data === '[DONE]', error};
}

const WORDS = [
  'graft',
  'wax',
  'bud',
  'stock',
  'knife',
  'season',
  'sloop',
  'barge',
  'hull',
  'keel',
];

/** Returns the words that a fake engine sends for a complete generation. */
export function expectedWords(tokens: number): string[] {
  return Array.from(
    {length: tokens},
    (_, index) => WORDS[(index + 1) % WORDS.length]!,
  );
}
