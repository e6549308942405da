/** Attempts that are ended after their response. */
import {expect} from 'earl';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {StopOrder} from '../moves/index.js';
import {testProtocol} from '../testing/gateway.js';
import type {ResponseHandlers, UpstreamConnection} from '../upstream/index.js';
import {startTargetAttempt} from './target-attempt.js';

test('an attempt that has its response closes a connection that is used again', async () => {
  let destroyed = 0;
  let handlers: ResponseHandlers | undefined;
  const connection = {
    send: (_data: Buffer, given: ResponseHandlers) => (handlers = given),
    noteUnserved: () => undefined,
    destroy: () => (destroyed += 1),
  } as unknown as UpstreamConnection;
  const attempt = startTargetAttempt({
    connection,
    request: Buffer.alloc(0),
    attemptId: 'a1',
    res: {on: () => {}, off: () => {}} as unknown as ServerResponse,
    protocol: testProtocol,
    isStreamed: true,
    isResumable: false,
    continuedSink: undefined,
    continuesRun: false,
    callerLastEventId: undefined,
    onProven: () => undefined,
    onHead: () => undefined,
    probe: {
      onProgress: () => undefined,
      onPause: () => undefined,
      onPassedOn: () => undefined,
    },
    stopOrder: new StopOrder(),
  });
  const names = {attempt: 'a1', 'not-run': '1'};
  handlers!.onHead({
    status: 503,
    statusText: '',
    rawHeaders: Object.entries(names).flat(),
    headers: new Map(Object.entries(names)),
    endsWithConnection: false,
  });
  handlers!.onEnd();
  expect(await attempt.result).toEqual({kind: 'not_run', isMisdirected: false});
  attempt.breakOff('moved');
  attempt.cancel();
  expect(destroyed).toEqual(0);
});
