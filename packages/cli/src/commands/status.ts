/** `samphirefield status` and `samphirefield voters`. */
import type {ClusterStatus, TargetStatus} from '@samphirefield/control';
import {EXIT, formatTable, print, type ExitCode} from '../output/index.js';
import {reportClientError, type CommandContext} from './context.js';

function targetState(target: TargetStatus, status: ClusterStatus): string {
  if (target.isLapsed) return 'expired';
  if (status.outTargets.includes(target.target)) return 'out';
  if (status.outZones.includes(target.zone)) return 'zone out';
  if (target.isLeaving) return 'draining';
  return target.isWarm ? 'warm' : 'cold';
}

function formatStatus(status: ClusterStatus): string[] {
  const entries = status.entries.map(entry => [
    entry.instance,
    entry.zone,
    `${entry.revision}`,
    `${entry.heardMsAgo} ms ago`,
    entry.hasLease ? 'held' : 'expired',
  ]);
  const targets = status.targets.map(target => [
    target.target,
    target.service,
    target.zone,
    targetState(target, status),
    `${target.running}/${target.grantedSlots}/${target.bearsSlots}`,
  ]);
  return [
    `leader ${status.leader}, term ${status.term}`,
    `revision ${status.revision}, ${status.isInForce ? 'active everywhere' : 'not yet confirmed everywhere'}`,
    `zones out of service: ${status.outZones.join(', ') || 'none'}; targets out of service: ${status.outTargets.join(', ') || 'none'}`,
    `ledger records ${status.ledgerRecords}, quarantined requests ${status.quarantined.length}`,
    '',
    ...formatTable(
      ['entry', 'zone', 'revision', 'last seen', 'lease'],
      entries,
    ),
    '',
    ...formatTable(
      ['target', 'service', 'zone', 'state', 'running/granted/capacity'],
      targets,
    ),
  ];
}

async function printStatus(
  context: CommandContext,
  show: (status: ClusterStatus) => readonly string[],
): Promise<ExitCode> {
  const response = await context.client.get('/operator/status');
  if (response.isErr())
    return reportClientError(context.output, response.error);
  const status = response.value.body as ClusterStatus;
  print(context.output, status, () => show(status));
  return EXIT.done;
}

export function showStatus(context: CommandContext): Promise<ExitCode> {
  return printStatus(context, formatStatus);
}

export function showVoters(context: CommandContext): Promise<ExitCode> {
  return printStatus(context, status =>
    formatTable(
      ['replica', 'role', 'last contact', 'lag'],
      status.members.map(member => [
        member.replica,
        member.role,
        `${member.silentMs} ms ago`,
        `${member.lagEntries} entries`,
      ]),
    ),
  );
}

export async function bootstrapVoters(
  context: CommandContext,
): Promise<ExitCode> {
  const response = await context.client.post('/operator/bootstrap', {});
  if (response.isErr())
    return reportClientError(context.output, response.error);
  const body = response.value.body as {
    readonly kind: string;
    readonly replica?: string;
    readonly reason?: string;
  };
  const isFormed = body.kind === 'ok';
  print(context.output, body, () => [
    isFormed
      ? `the control group is formed; its first voter is ${body.replica}`
      : `rejected: ${body.reason}`,
  ]);
  return isFormed ? EXIT.done : EXIT.failed;
}
