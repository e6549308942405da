/** `samphirefield zone` and `samphirefield target`: take out of service, bring back. */
import {targetId, zoneId} from '@samphirefield/core';
import type {ExitCode} from '../output/index.js';
import {readBaseConfig, sendChange} from './change.js';
import {reportClientError, type CommandContext} from './context.js';

export async function changeServiceState(
  context: CommandContext,
  kind: 'zone' | 'target',
  name: string,
  isOut: boolean,
  isUnseenAllowed: boolean,
): Promise<ExitCode> {
  const base = await readBaseConfig(context);
  if (base.isErr()) return reportClientError(context.output, base.error);
  const {baseRevision} = base.value;
  const change =
    kind === 'zone'
      ? {kind, zone: zoneId(name), isOut}
      : {kind, target: targetId(name), isOut};
  return sendChange(context, {change, baseRevision, isUnseenAllowed});
}
