/**
 * Sends replicas' messages to one peer, batched, a few batches under way at a
 * time: a heartbeat in flight must not hold up an append. Messages that wait
 * for an unreachable peer are dropped, oldest first: the consensus core sends
 * again whatever still matters.
 */
import type {Envelope} from '@samphirefield/replication';
import type {PeerAddress, RpcClient} from '../rpc/index.js';

const MAX_WAITING = 1_024;
const MAX_IN_FLIGHT = 3;

export class PeerSender {
  private waiting: Envelope[] = [];
  private inFlight = 0;

  constructor(
    private readonly rpc: RpcClient,
    private readonly peer: PeerAddress,
    private readonly timeoutMs: number,
  ) {}

  send(envelope: Envelope): void {
    this.waiting.push(envelope);
    if (this.waiting.length > MAX_WAITING) this.waiting.shift();
    if (this.inFlight < MAX_IN_FLIGHT) void this.drain();
  }

  private async drain(): Promise<void> {
    this.inFlight += 1;
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
    this.inFlight -= 1;
  }
}
