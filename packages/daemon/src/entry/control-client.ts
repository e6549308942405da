/** Finds the leader of the control group and calls it, wherever it is. */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../clock/index.js';
import type {PeerAddress, RpcClient} from '../rpc/index.js';
import type {DaemonAddress, NotLeader} from '../voter/index.js';

export type ControlError =
  /** No leader answered in time; the call was possibly carried out. */
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
    const isSame = (hint: DaemonAddress) => hint.instance === instance;
    return this.voters.find(isSame) ?? this.options.seeds.find(isSame);
  }

  /** Calls the leader; tries the other voters until `deadlineMs`. */
  async callLeader<Answer extends {readonly kind: string}>(
    method: string,
    params: unknown,
    deadlineMs: number,
  ): Promise<Result<Exclude<Answer, NotLeader>, ControlError>> {
    const {rpc, clock, callTimeoutMs} = this.options;
    let lastReason = 'the deadline had passed';
    for (;;) {
      const leftMs = deadlineMs - clock.nowMs();
      if (leftMs <= 0) return err({kind: 'no_leader', lastReason});
      const peer = this.leader ?? this.pickVoter();
      const timeoutMs = Math.min(callTimeoutMs, leftMs);
      const result = await rpc.call(peer, method, params, timeoutMs);
      if (result.isOk()) {
        const answer = result.value as Answer | NotLeader;
        if (!isNotLeader(answer)) {
          this.leader = peer;
          return ok(answer as Exclude<Answer, NotLeader>);
        }
        lastReason = 'no voter leads';
        this.follow(answer.leader, peer);
      } else {
        lastReason = `${result.error.kind}: ${result.error.reason}`;
        this.leader = undefined;
      }
      await delay(RETRY_PAUSE_MS);
    }
  }

  private follow(hint: DaemonAddress | undefined, from: PeerAddress): void {
    const isSelf = hint?.address === from.address && hint.port === from.port;
    this.leader = isSelf ? undefined : hint;
  }

  private pickVoter(): PeerAddress {
    const known = [...this.voters, ...this.options.seeds];
    this.nextVoter = (this.nextVoter + 1) % known.length;
    return known[this.nextVoter]!;
  }
}

function isNotLeader(answer: {readonly kind: string}): answer is NotLeader {
  return answer.kind === 'not_leader';
}
