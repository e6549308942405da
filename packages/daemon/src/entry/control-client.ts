/** Finds the leader of the control group, on any instance, and calls it. */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../clock/index.js';
import type {PeerAddress, RpcClient} from '../rpc/index.js';
import type {DaemonAddress, NotLeader} from '../voter/index.js';

export type ControlError =
  /** No leader responded in time; the call may have been carried out. */
  {readonly kind: 'no_leader'; readonly lastReason: string};

export interface ControlClientOptions {
  readonly rpc: RpcClient;
  readonly clock: Clock;
  readonly seeds: readonly DaemonAddress[];
  readonly callTimeoutMs: number;
}

const RETRY_PAUSE_MS = 30;

export class ControlClient {
  private voters: readonly DaemonAddress[];
  private leader: PeerAddress | undefined;
  private nextVoter = 0;

  constructor(private readonly options: ControlClientOptions) {
    this.voters = options.seeds;
  }

  updateVoters(voters: readonly DaemonAddress[]): void {
    if (voters.length > 0) this.voters = voters;
  }

  addressOf(instance: string): PeerAddress | undefined {
    const isSame = (daemon: DaemonAddress) => daemon.instance === instance;
    return this.voters.find(isSame) ?? this.options.seeds.find(isSame);
  }

  /** Calls the leader; tries voters and seeds in turn until `deadlineMs`. */
  async callLeader<Response extends {readonly kind: string}>(
    method: string,
    params: unknown,
    deadlineMs: number,
  ): Promise<Result<Exclude<Response, NotLeader>, ControlError>> {
    const {rpc, clock, callTimeoutMs} = this.options;
    let lastReason = 'the deadline passed before the first attempt';
    for (;;) {
      const remainingMs = deadlineMs - clock.nowMs();
      if (remainingMs <= 0) return err({kind: 'no_leader', lastReason});
      const peer = this.leader ?? this.pickVoter();
      const timeoutMs = Math.min(callTimeoutMs, remainingMs);
      const result = await rpc.call(peer, method, params, timeoutMs);
      if (result.isOk()) {
        const response = result.value as Response | NotLeader;
        if (!isNotLeader(response)) {
          this.leader = peer;
          return ok(response as Exclude<Response, NotLeader>);
        }
        lastReason = 'the voter is not the leader';
        this.useHint(response.leader, peer);
      } else {
        lastReason = `${result.error.kind}: ${result.error.reason}`;
        this.leader = undefined;
      }
      await delay(RETRY_PAUSE_MS);
    }
  }

  private useHint(hint: DaemonAddress | undefined, sender: PeerAddress): void {
    const isSender =
      hint?.address === sender.address && hint.port === sender.port;
    this.leader = isSender ? undefined : hint;
  }

  private pickVoter(): PeerAddress {
    const known = [...this.voters, ...this.options.seeds];
    this.nextVoter = (this.nextVoter + 1) % known.length;
    return known[this.nextVoter]!;
  }
}

function isNotLeader(response: {readonly kind: string}): response is NotLeader {
  return response.kind === 'not_leader';
}
