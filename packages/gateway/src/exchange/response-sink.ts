/**
 * Forwards a target's response to the caller. Streams are sent event by event
 * as they arrive. Other responses are buffered until they are complete, so that
 * the response of another attempt can still replace a broken one.
 */
import type {ServerResponse} from 'node:http';
import {
  BLOCK_BYTES,
  BlockCollector,
  bodyBlocks,
  leaseOf,
  SYSTEM_UNREAD_BYTES,
  type MemoryLease,
} from '@samphirefield/core';
import type {ResponseHead} from '../upstream/index.js';
import {EventRelay, type RelayFault} from './event-relay.js';
import {forwardedResponseHeaders} from './http-message.js';
import {framingForHop} from './relay-protocol.js';

/** A longer response is forwarded before it is complete. */
const BUFFER_MAX_BYTES = 1_048_576;
/** A longer response without a stated length is taken for endless. */
const MAX_UNSTATED_BODY_BYTES = 8_388_608;

export type SinkFault = RelayFault | 'endless body';

export class ResponseSink {
  private readonly buffered = new BlockCollector(bodyBlocks);
  private bodyBytes = 0;
  private isHeadSent = false;
  /**
   * When the head was sent to the caller, on the clock of `performance.now`.
   */
  headSentAtMs: number | undefined;
  /** Set when the response is a stream of events. */
  readonly events: EventRelay | undefined;
  private readonly lease: MemoryLease;

  constructor(
    private readonly res: ServerResponse,
    private readonly head: ResponseHead,
    isStreamed: boolean,
    /** Called when the caller reads more slowly than the target sends. */
    public onBackpressure: () => void,
  ) {
    this.lease = leaseOf(res.socket);
    if (isStreamed) {
      this.events = new EventRelay({write: data => this.flush(data)});
    }
  }

  get status(): number {
    return this.head.status;
  }

  /** Whether any part of this response was sent to the caller. */
  get hasStarted(): boolean {
    return this.isHeadSent;
  }

  /** Whether another target can send the rest of this response. */
  get canResume(): boolean {
    return this.events?.canResume ?? false;
  }

  /** Adds a part of the body; returns the reason if it cannot be valid. */
  push(data: Buffer): SinkFault {
    if (this.events) return this.events.push(data);
    this.bodyBytes += data.length;
    const hasLength = this.head.headers.has('content-length');
    if (!hasLength && this.bodyBytes > MAX_UNSTATED_BODY_BYTES) {
      return 'endless body';
    }
    this.buffer(data);
    return undefined;
  }

  /** Sends the buffered data and ends the response. */
  end(): void {
    const remainder = this.events?.takePartialEvent();
    const remainingBytes = remainder?.length ?? this.buffered.length;
    if (!this.isHeadSent) this.sendHead(remainingBytes);
    if (remainder === undefined) this.writeBuffered();
    this.res.end(remainder);
    this.lease.set('responses', this.res.writableLength);
  }

  private buffer(data: Buffer): void {
    if (this.isHeadSent) {
      this.write(data);
      return;
    }
    const newBytes = this.buffered.blocksFor(data.length) * BLOCK_BYTES;
    const mayBuffer =
      this.bodyBytes <= BUFFER_MAX_BYTES &&
      this.lease.tryGrow('responses', newBytes);
    if (mayBuffer) {
      this.buffered.push(data);
      return;
    }
    // From here on the caller's speed limits the target's.
    this.sendHead(undefined);
    this.writeBuffered();
    this.write(data);
  }

  private flush(data: Buffer): void {
    if (!this.isHeadSent) this.sendHead(undefined);
    this.write(data);
  }

  /** Writes the blocks as they are; they are free again once all was sent. */
  private writeBuffered(): void {
    const {parts, release} = this.buffered.takeBlocks();
    if (parts.length === 0) return;
    this.res.once('close', release);
    this.res.cork();
    for (const part of parts) this.res.write(part);
    this.res.uncork();
  }

  private write(data: Buffer): void {
    if (this.res.write(data)) {
      this.lease.set('responses', 0);
      return;
    }
    // The target is not read until the caller has read this, so the system
    // holds what the target sends.
    const heldBytes = this.res.writableLength + SYSTEM_UNREAD_BYTES;
    this.lease.set('responses', heldBytes);
    this.onBackpressure();
  }

  private sendHead(lengthBytes: number | undefined): void {
    const {status, statusText, rawHeaders} = this.head;
    const headers = forwardedResponseHeaders(rawHeaders);
    this.res.sendDate = false;
    const isStream = this.events !== undefined;
    const forHop = framingForHop(this.res, this.head, isStream);
    if (forHop) {
      headers.push(...forHop);
    } else if (this.head.endsWithConnection && !isStream) {
      // Without framing by the target nothing shows that the response was
      // complete, so the gateway adds no framing either; but a stream would look
      // complete if this process were killed in the middle of it.
      this.res.removeHeader('transfer-encoding');
      this.res.shouldKeepAlive = false;
      headers.push('Connection', 'close');
    } else if (this.res.req.method === 'HEAD') {
      const stated = this.head.headers.get('content-length');
      if (stated !== undefined) headers.push('Content-Length', stated);
    } else if (lengthBytes !== undefined) {
      headers.push('Content-Length', String(lengthBytes));
    }
    this.res.writeHead(status, statusText, headers);
    this.isHeadSent = true;
    this.headSentAtMs = performance.now();
  }
}
