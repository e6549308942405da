/**
 * Outgoing links, reopened when they fail, and the listener for incoming ones.
 */
import {connect, createServer} from 'node:net';
import {listenWhenFree, type Logger} from '@samphirefield/core';
import {
  Peer,
  PROMPT_KEEPALIVE,
  type CloseReason,
  type RpcHandlers,
} from './peer.js';

const CONNECT_TIMEOUT_MS = 800;
const RECONNECT_MIN_MS = 50;
const RECONNECT_MAX_MS = 300;

export interface Address {
  readonly host: string;
  readonly port: number;
}

export const formatAddress = (address: Address): string =>
  `${address.host}:${address.port}`;

export interface LinkEvents {
  onUp(address: Address, peer: Peer): void;
  onDown(address: Address, reason: CloseReason | undefined): void;
}

interface Link {
  readonly address: Address;
  peer: Peer | undefined;
  retryDelayMs: number;
  timer: NodeJS.Timeout | undefined;
  isActive: boolean;
}

/** Keeps one connection open to each of its addresses. */
export class LinkSet {
  private readonly links = new Map<string, Link>();

  constructor(
    private readonly handlers: RpcHandlers,
    private readonly events: LinkEvents,
  ) {}

  add(address: Address): void {
    const key = formatAddress(address);
    if (this.links.has(key)) return;
    const link: Link = {
      address,
      peer: undefined,
      retryDelayMs: RECONNECT_MIN_MS,
      timer: undefined,
      isActive: true,
    };
    this.links.set(key, link);
    this.open(link);
  }

  has(address: Address): boolean {
    return this.links.has(formatAddress(address));
  }

  /** Closes the link to an address and no longer reopens it. */
  remove(address: Address): void {
    const key = formatAddress(address);
    const link = this.links.get(key);
    if (link) this.drop(key, link);
  }

  peerAt(address: Address): Peer | undefined {
    return this.links.get(formatAddress(address))?.peer;
  }

  connectedPeers(): Peer[] {
    return [...this.links.values()].flatMap(link => link.peer ?? []);
  }

  close(): void {
    for (const [key, link] of this.links) this.drop(key, link);
  }

  private drop(key: string, link: Link): void {
    link.isActive = false;
    clearTimeout(link.timer);
    this.links.delete(key);
    link.peer?.close();
  }

  private open(link: Link): void {
    const {host, port} = link.address;
    const socket = connect({host, port});
    let isSettled = false;
    const settle = (isUp: boolean) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      socket.removeAllListeners();
      socket.on('error', () => undefined);
      if (!isUp || !link.isActive) {
        socket.destroy();
        this.retry(link);
        return;
      }
      link.retryDelayMs = RECONNECT_MIN_MS;
      const peer = new Peer(
        socket,
        this.handlers,
        closed => {
          link.peer = undefined;
          this.events.onDown(link.address, closed.closeReason);
          this.retry(link);
        },
        PROMPT_KEEPALIVE,
      );
      link.peer = peer;
      this.events.onUp(link.address, peer);
    };
    const timer = setTimeout(() => settle(false), CONNECT_TIMEOUT_MS);
    socket.once('error', () => settle(false));
    socket.once('connect', () => settle(true));
  }

  private retry(link: Link): void {
    if (!link.isActive) return;
    link.timer = setTimeout(() => this.open(link), link.retryDelayMs);
    link.retryDelayMs = Math.min(link.retryDelayMs * 2, RECONNECT_MAX_MS);
  }
}

export interface LinkListener {
  /** Stops accepting links and closes those that are open. */
  close(): void;
}

export async function listenForLinks(
  address: Address,
  handlers: RpcHandlers,
  onClosed: (peer: Peer) => void,
  logger: Logger,
): Promise<LinkListener> {
  const peers = new Set<Peer>();
  const server = createServer(socket => {
    const peer = new Peer(socket, handlers, closed => {
      peers.delete(closed);
      onClosed(closed);
    });
    peers.add(peer);
  });
  const close = () => {
    server.close();
    for (const peer of peers) peer.close();
  };
  await listenWhenFree(server, address, {
    onWaiting: reason => logger.warn('waits_to_listen', {reason}),
    onError: reason => logger.warn('accept_failed', {reason}),
  });
  return {close};
}
