/**
 * Reads a request's body up to a limit. Memory is reserved before it is used;
 * while there is none, the body is not read.
 */
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {BLOCK_BYTES, BlockCollector, BlockPool} from '../bytes/index.js';
import {leaseOf, type MemoryLease} from './lease.js';

export type BodyError = 'too_large' | 'caller_left' | 'no_memory';

/**
 * Reserved bytes for each byte of a block: a body is copied once, into one
 * buffer or into the request to a target.
 */
const COPIES = 2;

export const bodyBlocks = new BlockPool();

/**
 * Fails with `caller_left` if the connection closes before the body ends, and
 * with `no_memory` if the process has none left for it. What a body holds is
 * released when the request's response is closed.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve(err('too_large'));
  return new Promise(resolve => {
    new BodyReader(req, maxBytes, leaseOf(req.socket), resolve);
  });
}

class BodyReader {
  private readonly body = new BlockCollector(bodyBlocks);
  private readonly stopListening: () => void;
  private isOver = false;

  constructor(
    private readonly req: IncomingMessage,
    private readonly maxBytes: number,
    private readonly lease: MemoryLease,
    private readonly resolve: (result: Result<Buffer, BodyError>) => void,
  ) {
    this.stopListening = lease.onEvict(() => this.fail('no_memory'));
    req.on('data', (chunk: Buffer) => this.onData(chunk));
    req.on('end', () => this.onEnd());
    req.on('error', () => this.fail('caller_left'));
    req.on('close', () => this.fail('caller_left'));
  }

  private onData(chunk: Buffer): void {
    if (this.isOver) return;
    if (this.body.length + chunk.length > this.maxBytes) {
      this.fail('too_large');
      return;
    }
    const blocks = this.body.blocksFor(chunk.length);
    if (blocks > 0) this.reserve(blocks, chunk);
    else this.body.push(chunk);
  }

  /** Adds the chunk once its memory is reserved; does not read until then. */
  private reserve(blocks: number, chunk: Buffer): void {
    let hasEnded = false;
    let isWaiting = false;
    this.lease.reserve('bodies', blocks * BLOCK_BYTES * COPIES, isGranted => {
      hasEnded = true;
      if (this.isOver) return;
      if (isGranted) this.body.push(chunk);
      else this.fail('no_memory');
      if (isWaiting && isGranted) this.req.resume();
    });
    if (hasEnded) return;
    isWaiting = true;
    this.req.pause();
  }

  private onEnd(): void {
    if (this.isOver) return;
    const body = this.body.take();
    this.finish(ok(body));
  }

  private fail(error: BodyError): void {
    if (this.isOver) return;
    this.body.clear();
    this.lease.set('bodies', 0);
    this.req.pause();
    this.finish(err(error));
  }

  private finish(result: Result<Buffer, BodyError>): void {
    this.isOver = true;
    this.stopListening();
    this.resolve(result);
  }
}
