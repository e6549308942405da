/** Bodies that do not fit into the memory of the process. */
import {expect} from 'earl';
import {test} from 'node:test';
import {ConnectionGuard, ResourceAccount} from '@samphirefield/core';
import {readBody} from './body.js';
import {createApp, startServer} from './server.js';

// Guards against bodies that are read without being counted.
test('a body without memory is refused, a smaller one is read', async t => {
  const account = new ResourceAccount({maxBytes: 1_000_000, maxConnections: 9});
  const guard = new ConnectionGuard(account);
  const app = createApp();
  app.post('/', async context => {
    const body = await readBody(context.env.incoming, 4_000_000);
    if (body.isOk()) return context.text(`${body.value.length}`);
    return context.text(body.error.kind, 503);
  });
  const server = await startServer(app, '127.0.0.1', 0, guard);
  t.after(async () => {
    guard.close();
    await server.close();
  });
  const post = async (bytes: number) => {
    const url = `http://127.0.0.1:${server.port}/`;
    const response = await fetch(url, {
      method: 'POST',
      body: 'x'.repeat(bytes),
      headers: {connection: 'close'},
    });
    return response.text();
  };
  expect(await post(200_000)).toEqual('200000');
  const refused = await post(900_000).catch(() => 'closed');
  expect(['no_memory', 'closed'].includes(refused)).toEqual(true);
  expect(await post(200_000)).toEqual('200000');
  expect(account.bytesOf('bodies')).toEqual(0);
});
