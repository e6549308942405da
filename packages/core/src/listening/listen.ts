/**
 * Listens at an address that another socket may still hold, as after a restart,
 * or that the machine does not have yet. Such a start waits instead of ending
 * the process. Later errors of a server that listens are reported, too: without
 * a listener they would end the process.
 */
import type {ListenOptions, Server} from 'node:net';

const RETRY_EVERY_MS = 200;
/** Errors that pass without a change of the settings. */
const PASSING = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

export interface ListenObserver {
  /** The server does not listen yet; called at the first try and when the reason changes. */
  readonly onWaiting: (reason: string) => void;
  /** The server goes on, but could not accept a connection. */
  readonly onError: (reason: string) => void;
}

/** Resolves once the server listens; rejects on an error that does not pass. */
export function listenWhenFree(
  server: Server,
  options: ListenOptions,
  observer: ListenObserver,
): Promise<void> {
  let waitsFor: string | undefined;
  return new Promise((resolve, reject) => {
    const open = () => {
      server.listen(options);
    };
    const onError = (error: NodeJS.ErrnoException) => {
      if (server.listening) {
        observer.onError(error.message);
        return;
      }
      if (!PASSING.has(error.code ?? '')) {
        reject(error);
        return;
      }
      if (waitsFor !== error.message) observer.onWaiting(error.message);
      waitsFor = error.message;
      setTimeout(open, RETRY_EVERY_MS);
    };
    server.on('error', onError);
    server.once('listening', resolve);
    open();
  });
}
