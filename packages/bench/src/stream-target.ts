/**
 * A benchmark target. Streams one payload, built once, as every token, at a
 * steady interval; with an interval of 0 it sends as fast as the reader accepts.
 */
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {randomUUID} from 'node:crypto';
import {Announcer} from '@samphirefield/fakes';

const [target, key, intervalText, ...daemons] = process.argv.slice(2);
const intervalMs = Number(intervalText);
const SLOTS = 100_000;
const BURST_EVENTS = 64;
const incarnation = randomUUID();
const PAYLOAD = JSON.stringify({
  id: 'bench',
  object: 'chat.completion.chunk',
  model: 'large',
  choices: [{index: 0, delta: {content: 'token '}, finish_reason: null}],
});

interface Stream {
  readonly response: ServerResponse;
  readonly generation: string;
  readonly tokens: number;
  sent: number;
}

const streams = new Set<Stream>();

/** Returns the stream's next event. */
function nextEvent(stream: Stream): string {
  const data = stream.sent < stream.tokens ? PAYLOAD : '[DONE]';
  const text = `id: ${stream.generation}:${stream.sent}\ndata: ${data}\n\n`;
  stream.sent += 1;
  return text;
}

/** Whether all events were written or the connection is closed. */
function isEnded(stream: Stream): boolean {
  return stream.sent > stream.tokens || stream.response.destroyed;
}

/** Sends one token; the last one is sent together with the [DONE] event. */
function sendToken(stream: Stream): void {
  let text = nextEvent(stream);
  if (stream.sent === stream.tokens) text += nextEvent(stream);
  stream.response.write(text);
  if (!isEnded(stream)) return;
  stream.response.end();
  streams.delete(stream);
}

/** Sends bursts of events, pausing only for backpressure. */
function sendUnpaced(stream: Stream): void {
  while (!isEnded(stream)) {
    let text = '';
    for (let event = 0; event < BURST_EVENTS && !isEnded(stream); event += 1)
      text += nextEvent(stream);
    if (!stream.response.write(text)) {
      stream.response.once('drain', () => sendUnpaced(stream));
      return;
    }
  }
  stream.response.end();
}

/** Sends one token every interval. */
function sendPaced(stream: Stream): void {
  streams.add(stream);
  sendToken(stream);
  const timer = setInterval(() => {
    if (isEnded(stream)) clearInterval(timer);
    else sendToken(stream);
  }, intervalMs);
}

const server = createServer((request, response) => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    if (request.method !== 'POST') {
      response.end('{}');
      return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8')) as {
      max_tokens: number;
    };
    const stream: Stream = {
      response,
      generation: randomUUID(),
      tokens: body.max_tokens,
      sent: 0,
    };
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-generation-id': stream.generation,
    });
    if (intervalMs === 0) sendUnpaced(stream);
    else sendPaced(stream);
  });
});

server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  const announcer = new Announcer({
    daemons,
    key: key!,
    intervalMs: 1_000,
    build: () => ({
      target: target!,
      incarnation,
      zone: 'zone-a',
      service: 'models',
      address: '127.0.0.1',
      port,
      models: [{model: 'large', version: '1'}],
      slots: SLOTS,
      cold_slots: SLOTS,
      kv_tokens: 1_000_000_000,
      is_warm: true,
      warm_for_ms: 3_600_000,
      load: {running: streams.size, waiting: 0, kv_used_tokens: 0, age_ms: 0},
    }),
  });
  announcer.start();
  process.stdout.write(
    `${JSON.stringify({url: `http://127.0.0.1:${port}`})}\n`,
  );
});
