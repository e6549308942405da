/** Streams of numbered events, as scripted targets send them. */
import type {TestContext} from 'node:test';
import {call, startTestGateway, type TestGatewayOptions} from './gateway.js';
import {startScriptedTarget, type ReceivedRequest} from './scripted-target.js';

export const chunk = (text: string) =>
  `${text.length.toString(16)}\r\n${text}\r\n`;
export const STREAM_END = '0\r\n\r\n';

export const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
export const events = (from: number, to: number) =>
  Array.from({length: to - from + 1}, (_, i) => event(from + i)).join('');

/** The head of a stream with these further lines, without a signature. */
export const unsignedStreamHead = (...extra: string[]) =>
  ['HTTP/1.1 200 OK', ...extra, 'Transfer-Encoding: chunked', '', ''].join(
    '\r\n',
  );
export const streamHead = (...extra: string[]) =>
  unsignedStreamHead('Signed: yes', ...extra);

/** The number after which a target was asked for events; 0: for all. */
export const lastEventIdOf = (head: string) =>
  Number(/^last: (.*)$/im.exec(head)?.[1] ?? 0);

export type Script = (request: ReceivedRequest) => void;

export const send =
  (text: string): Script =>
  ({socket}) =>
    socket.write(text);
/** Sends a stream up to here and ends. */
export const sendAndDie =
  (text: string): Script =>
  ({socket}) =>
    socket.end(streamHead() + chunk(text));
export const sendWhole = (from: number, to: number) =>
  send(streamHead() + chunk(events(from, to)) + STREAM_END);

export interface StreamPlay extends Partial<TestGatewayOptions> {
  readonly scripts: readonly Script[];
  readonly headers?: Record<string, string>;
  /** Called when the caller has received data, each time. */
  readonly onData?: (leave: () => void, disconnect: () => void) => void;
}

/**
 * Sends one request to a resumable route whose targets follow these scripts.
 */
export async function playStream(t: TestContext, play: StreamPlay) {
  const {scripts, headers = {}, onData, route, ...options} = play;
  const targets = await Promise.all(scripts.map(startScriptedTarget));
  const gateway = await startTestGateway({
    ...options,
    kind: 'stream',
    route: {isResumable: true, maxRuns: 3, ...route},
    targets,
  });
  t.after(() => {
    gateway.close();
    for (const target of targets) target.close();
  });
  const leave = () => gateway.startDraining(0);
  const {status, body, isComplete, ...response} = await call(gateway.port, {
    headers,
    onData: (_text, disconnect) => onData?.(leave, disconnect),
  });
  return {
    status,
    body,
    isComplete,
    headers: response.headers,
    /** How many requests each target received. */
    runs: targets.map(({received}) => received.length),
    /** After which event each request asked for the rest, in order of targets. */
    lastIds: targets.flatMap(({received}) =>
      received.map(({head}) => lastEventIdOf(head)),
    ),
    /** Runs that still hold a reservation. */
    held: gateway.heldRunCount(),
  };
}
