/**
 * The headers between two entries, one of which relays a request to the other.
 * Neither callers nor targets see them: the receiving entry takes them out of
 * the request, and what its response says of the hop repeats the id, which a
 * target does not know.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ResponseHead} from '../upstream/index.js';
import type {RelayedOrigin} from './relay-types.js';

const REQUEST_HEADERS = {
  token: 'relay-token',
  id: 'relay-id',
  entry: 'relay-entry',
  stateIndex: 'relay-state-index',
  remainingMs: 'relay-remaining-ms',
} as const;
const REQUEST_NAMES: ReadonlySet<string> = new Set(
  Object.values(REQUEST_HEADERS),
);
/** The request did not run; another peer may be able to serve it. */
const REFUSED = 'relay-refused';
/** It did not because the entry follows an older state, for the moment. */
const OLDER_STATE = 'relay-older-state';
/** The target's response had no framing, unlike that of the hop. */
const UNFRAMED = 'relay-unframed';

export interface RelayHop extends RelayedOrigin {
  readonly token: string;
}

/** The headers of a hop; names and values alternate. */
export function writeRelayHeaders(hop: RelayHop): string[] {
  return [
    REQUEST_HEADERS.token,
    hop.token,
    REQUEST_HEADERS.id,
    hop.relayId,
    REQUEST_HEADERS.entry,
    hop.entry,
    REQUEST_HEADERS.stateIndex,
    String(hop.stateIndex),
    REQUEST_HEADERS.remainingMs,
    String(Math.floor(hop.remainingMs)),
    'Connection',
    'close',
  ];
}

/**
 * Takes the headers of the hop out of a request, which is then as its caller
 * sent it. Returns undefined if the sender does not know the token.
 */
export function takeRelayHeaders(
  req: IncomingMessage,
  token: string,
): RelayedOrigin | undefined {
  const value = (name: string) => req.headers[name] as string | undefined;
  if (value(REQUEST_HEADERS.token) !== token) return undefined;
  const origin: RelayedOrigin = {
    relayId: relayIdOf(req),
    entry: value(REQUEST_HEADERS.entry) ?? '',
    stateIndex: Number(value(REQUEST_HEADERS.stateIndex)),
    remainingMs: Number(value(REQUEST_HEADERS.remainingMs)),
  };
  for (const name of REQUEST_NAMES) delete req.headers[name];
  const {rawHeaders} = req;
  for (let i = rawHeaders.length - 2; i >= 0; i -= 2) {
    if (REQUEST_NAMES.has(rawHeaders[i]!.toLowerCase()))
      rawHeaders.splice(i, 2);
  }
  return origin;
}

/** Tells the other entry that the request did not run here. */
export function markRefused(res: ServerResponse, relayId: string): void {
  res.setHeader(REFUSED, relayId);
}

/** The id of a hop, also of one whose sender does not know the token. */
export function relayIdOf({headers}: IncomingMessage): string {
  return String(headers[REQUEST_HEADERS.id] ?? '');
}

export function isRefused({headers}: ResponseHead, relayId: string): boolean {
  return headers.get(REFUSED) === relayId;
}

/** Tells the other entry that this one does not follow its state yet. */
export function markOlderState(res: ServerResponse, relayId: string): void {
  res.setHeader(OLDER_STATE, relayId);
}

/** Earlier builds do not say so. */
export function hasOlderState(
  {headers}: ResponseHead,
  relayId: string,
): boolean {
  return headers.get(OLDER_STATE) === relayId;
}

const relayIds = new WeakMap<ServerResponse, string>();

/** Marks a response to another entry; it is always framed. */
export function markRelayed(
  res: ServerResponse,
  {relayId}: RelayedOrigin,
): void {
  relayIds.set(res, relayId);
}

/**
 * What the head of a response to another entry says of the target's framing:
 * its length, so that a long body is not taken for an endless one, or that it
 * had none. Undefined if the response goes to a caller.
 */
export function framingForHop(
  res: ServerResponse,
  {headers, endsWithConnection}: ResponseHead,
  isStream: boolean,
): string[] | undefined {
  const relayId = relayIds.get(res);
  if (relayId === undefined) return undefined;
  if (endsWithConnection) return [UNFRAMED, relayId];
  const lengthBytes = headers.get('content-length');
  // Of a stream, events that the caller has are left out.
  const isExact = lengthBytes !== undefined && !isStream;
  return isExact ? ['Content-Length', lengthBytes] : [];
}

/** The head of the target's response, without what was added for the hop. */
export function withoutHop(head: ResponseHead, relayId: string): ResponseHead {
  if (head.headers.get(UNFRAMED) !== relayId) return head;
  const rawHeaders = head.rawHeaders.filter(
    (_, i) => head.rawHeaders[i - (i % 2)]!.toLowerCase() !== UNFRAMED,
  );
  return {...head, rawHeaders, endsWithConnection: true};
}
