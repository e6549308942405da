/**
 * Sends replicas' messages to one peer, batched, one batch under way at a time.
 * Messages that wait for an unreachable peer are dropped, oldest first: the
 * consensus core sends again whatever still matters.
 */
import type {Envelope} from '@samphirefield/replication';
import type {PeerAddress, RpcClient} from '../rpc/index.js';

const MAX_WAITING = 1_024;

export class PeerSender {
  private waiting: Envelope[] = [];
  private isSending = false;

  constructor(
    private readonly rpc: RpcClient,
    private readonly peer: PeerAddress,
    private readonly timeoutMs: number,
  ) {}

  send(envelope: Envelope): void {
    this.waiting.push(envelope);
    if (this.waiting.length > MAX_WAITING) this.waiting.shift();
    if (!this.isSending) void this.drain();
  }

  private async drain(): Promise<void> {
    this.isSending = true;
    // Lets every message of this turn of the event loop join the batch.
    await Promise.resolve();
    while (this.waiting.length > 0) {
      const batch = this.waiting;
      this.waiting = [];
      const notifications = batch.map(envelope => ({
        method: 'raft.step',
        params: envelope,
      }));
      await this.rpc.notify(this.peer, notifications, this.timeoutMs);
    }
    this.isSending = false;
  }
}
