/**
 * Serializes a request for a target and filters the headers of requests and
 * responses: headers that concern one connection only are not forwarded.
 */
import type {IncomingMessage} from 'node:http';

const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Names, in lower case, that a message's `Connection` header lists as valid for
 * one connection only.
 */
export function connectionHeaderNames(value: string | undefined): Set<string> {
  const names = (value ?? '').split(',').map(name => name.trim().toLowerCase());
  return new Set(names.filter(name => name !== ''));
}

function forwardedRequestHeaders(
  req: IncomingMessage,
  isForwardedHeader: (name: string) => boolean,
  replacedNames: ReadonlySet<string>,
): string[] {
  const connectionBound = connectionHeaderNames(req.headers.connection);
  const lines: string[] = [];
  for (let i = 0; i + 1 < req.rawHeaders.length; i += 2) {
    const name = req.rawHeaders[i]!;
    const lower = name.toLowerCase();
    const isDropped =
      HOP_BY_HOP.has(lower) ||
      connectionBound.has(lower) ||
      lower === 'content-length';
    if (isDropped || replacedNames.has(lower) || !isForwardedHeader(lower))
      continue;
    lines.push(`${name}: ${req.rawHeaders[i + 1]!}`);
  }
  return lines;
}

/** Serializes the request; `Content-Length` replaces any other body framing. */
export function serializeRequest(
  req: IncomingMessage,
  body: Buffer,
  isForwardedHeader: (name: string) => boolean,
  gatewayHeaders: readonly string[],
): Buffer {
  const replacedNames = new Set(
    gatewayHeaders
      .filter((_, i) => i % 2 === 0)
      .map(name => name.toLowerCase()),
  );
  const lines = [
    `${req.method} ${req.url} HTTP/1.1`,
    ...forwardedRequestHeaders(req, isForwardedHeader, replacedNames),
  ];
  for (let i = 0; i + 1 < gatewayHeaders.length; i += 2) {
    lines.push(`${gatewayHeaders[i]}: ${gatewayHeaders[i + 1]}`);
  }
  const hadBody =
    req.headers['content-length'] !== undefined ||
    req.headers['transfer-encoding'] !== undefined;
  if (hadBody || body.length > 0) lines.push(`Content-Length: ${body.length}`);
  const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
  return body.length > 0 ? Buffer.concat([head, body]) : head;
}

/**
 * A response's headers (names and values alternate) without those that concern
 * one connection only, and without `Content-Length`.
 */
export function forwardedResponseHeaders(
  rawHeaders: readonly string[],
): string[] {
  const kept: string[] = [];
  let connection: string | undefined;
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]!.toLowerCase() === 'connection') {
      connection = `${connection ?? ''},${rawHeaders[i + 1]!}`;
    }
  }
  const connectionBound = connectionHeaderNames(connection);
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const lower = rawHeaders[i]!.toLowerCase();
    if (HOP_BY_HOP.has(lower) || connectionBound.has(lower)) continue;
    if (lower === 'content-length') continue;
    kept.push(rawHeaders[i]!, rawHeaders[i + 1]!);
  }
  return kept;
}
