/**
 * Sends Raft messages to one peer in batches. A few batches may be in flight at
 * a time, so that a heartbeat in flight doesn't hold up an append. Messages
 * pending for an unreachable peer are dropped, oldest first: Raft sends again
 * any message that is still needed.
 */
import type {Envelope} from '@samphirefield/replication';
import type {PeerAddress, RpcClient} from '../rpc/index.js';

const MAX_PENDING = 1_024;
const MAX_BATCHES_IN_FLIGHT = 3;

export class PeerSender {
  private pending: Envelope[] = [];
  private batchesInFlight = 0;

  constructor(
    private readonly rpc: RpcClient,
    private readonly peer: PeerAddress,
    private readonly timeoutMs: number,
  ) {}

  send(envelope: Envelope): void {
    this.pending.push(envelope);
    if (this.pending.length > MAX_PENDING) this.pending.shift();
    if (this.batchesInFlight < MAX_BATCHES_IN_FLIGHT) void this.sendPending();
  }

  private async sendPending(): Promise<void> {
    this.batchesInFlight += 1;
    // Lets every message of the current event loop turn join the batch.
    await Promise.resolve();
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      const notifications = batch.map(envelope => ({
        method: 'raft.step',
        params: envelope,
      }));
      await this.rpc.notify(this.peer, notifications, this.timeoutMs);
    }
    this.batchesInFlight -= 1;
  }
}
