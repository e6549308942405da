/**
 * A TCP relay in front of one daemon. It can drop the data of one source while
 * every connection stays open, as a broken network path between two hosts does.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

export class Relay {
  private readonly blocked = new Set<string>();
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;

  constructor(
    private readonly address: string,
    private readonly targetPort: number,
  ) {}

  async start(): Promise<number> {
    const server = createServer(socket => this.accept(socket));
    this.server = server;
    await new Promise<void>(resolve => server.listen(0, this.address, resolve));
    return (server.address() as AddressInfo).port;
  }

  block(source: string): void {
    this.blocked.add(source);
  }

  unblock(source: string): void {
    this.blocked.delete(source);
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => this.server?.close(resolve));
  }

  private accept(caller: Socket): void {
    const source = caller.remoteAddress ?? '';
    const target = connect(this.targetPort, this.address);
    this.forward(caller, target, source);
    this.forward(target, caller, source);
  }

  private forward(from: Socket, to: Socket, source: string): void {
    this.sockets.add(from);
    from.on('data', chunk => {
      if (!this.blocked.has(source)) to.write(chunk);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
