/**
 * Ports at which tests listen, also again after a restart. They lie below the
 * range from which outgoing connections take theirs: such a connection would
 * keep a daemon from listening at its port again.
 */
import {createServer} from 'node:net';

const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;
/** Ports between the first ones that two processes try. */
const PROCESS_STRIDE = 97;

let tried = 0;

function canListen(host: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export async function findFreePort(host: string): Promise<number> {
  for (let i = 0; i < PORT_COUNT; i += 1) {
    tried += 1;
    const offset = process.pid * PROCESS_STRIDE + tried;
    const port = FIRST_PORT + (offset % PORT_COUNT);
    if (await canListen(host, port)) return port;
  }
  throw new Error('no port is free');
}
