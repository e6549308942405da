/**
 * Forms the control group, once. Every voter of the settings has to confirm that
 * it was never a member of a group: empty disks must not form a second one.
 */
import type {Settings, VoterAddress} from '@samphirefield/core';
import type {RpcClient} from '../rpc/index.js';
import type {BootstrapResponse, VoterHost} from '../voter/index.js';

export type BootstrapGroup = () => Promise<BootstrapResponse>;

/** The state of a daemon's own replica, as the call `voter.info` returns it. */
export interface ReplicaInfo {
  readonly hasDisk: boolean;
  readonly isMember: boolean;
}

const INFO_TIMEOUT_MS = 2_000;

async function findRefusalReason(
  rpc: RpcClient,
  voter: VoterAddress,
): Promise<string | undefined> {
  const response = await rpc.call(voter, 'voter.info', {}, INFO_TIMEOUT_MS);
  if (response.isErr())
    return `voter ${voter.id} cannot be reached (${response.error.kind})`;
  const info = response.value as ReplicaInfo;
  if (!info.hasDisk) return `voter ${voter.id} has no data folder`;
  return info.isMember
    ? `voter ${voter.id} is already a member of a group`
    : undefined;
}

export function createBootstrap(
  settings: Settings,
  rpc: RpcClient,
  host: VoterHost | undefined,
): BootstrapGroup {
  return async () => {
    if (host === undefined) {
      return {kind: 'refused', reason: 'this daemon has no data folder'};
    }
    const refusals = await Promise.all(
      settings.cluster.voters.map(voter => findRefusalReason(rpc, voter)),
    );
    const reason = refusals.find(refusal => refusal !== undefined);
    return reason === undefined ? host.bootstrap() : {kind: 'refused', reason};
  };
}
