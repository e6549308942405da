/** Targets that send their bodies in chunks of a few bytes. */
import {expect} from 'earl';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {createResponseParser, type ResponseHead} from '../upstream/index.js';
import {ResponseSink} from './response-sink.js';

const CHUNKS = 200_000;
const MAX_KEPT_BYTES = 4_000_000;

function heapBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
}

// Guards against a heap that a body far below its limit of bytes fills.
test('a body that is kept back costs no object for each of its chunks', () => {
  const head: ResponseHead = {
    status: 500,
    statusText: '',
    rawHeaders: [],
    headers: new Map(),
    endsWithConnection: false,
  };
  const sink = new ResponseSink(
    {} as ServerResponse,
    head,
    false,
    () => undefined,
  );
  const before = heapBytes();
  for (let i = 0; i < CHUNKS; i += 1) sink.push(Buffer.from('x'));
  expect(heapBytes() - before < MAX_KEPT_BYTES).toEqual(true);
  expect(sink.hasStarted).toEqual(false);
});

test('the chunks of one read are handed on together, before the end', () => {
  const calls: string[] = [];
  const parser = createResponseParser({
    onHead: () => calls.push('head'),
    onData: data => calls.push(data.toString()),
    onEnd: () => calls.push('end'),
  });
  const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
  parser.execute(Buffer.from(`${head}1\r\na\r\n2\r\nbc\r\n`));
  parser.execute(Buffer.from('1\r\nd\r\n1\r\ne\r\n0\r\n\r\n'));
  expect(calls).toEqual(['head', 'abc', 'de', 'end']);
});
