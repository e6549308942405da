import {expect} from 'earl';
import {createServer, type Server} from 'node:net';
import {test} from 'node:test';
import {findFreePort} from '../testing/index.js';
import {listenWhenFree} from './listen.js';

const HOST = '127.0.0.1';

function observe() {
  const waits: string[] = [];
  const errors: string[] = [];
  return {
    waits,
    errors,
    onWaiting: (reason: string) => waits.push(reason),
    onError: (reason: string) => errors.push(reason),
  };
}

const listenNow = (server: Server, port: number) =>
  new Promise<void>(resolve => server.listen({host: HOST, port}, resolve));

test('waits for a taken port, says so once, and listens then', async () => {
  const port = await findFreePort(HOST);
  const holder = createServer();
  await listenNow(holder, port);
  const server = createServer();
  const observed = observe();
  const listening = listenWhenFree(server, {host: HOST, port}, observed);
  await new Promise(resolve => setTimeout(resolve, 700));
  expect(observed.waits.length).toEqual(1);
  expect(server.listening).toEqual(false);
  holder.close();
  await listening;
  expect(server.listening).toEqual(true);
  server.close();
});

// Guards against a server whose later errors end the process.
test('reports an error of a server that listens', async () => {
  const server = createServer();
  const observed = observe();
  await listenWhenFree(server, {host: HOST, port: 0}, observed);
  server.emit('error', new Error('accept EMFILE'));
  expect(observed.errors).toEqual(['accept EMFILE']);
  server.close();
});

test('fails at once for an address that cannot be one', async () => {
  const listening = listenWhenFree(
    createServer(),
    {host: '300.1.1.1.', port: 0},
    observe(),
  );
  await expect(listening).toBeRejected();
});
