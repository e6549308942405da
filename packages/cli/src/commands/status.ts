/** `samphirefield status` and `samphirefield voters`. */
import type {ClusterStatus, TargetStatus} from '@samphirefield/control';
import {EXIT, formatTable, print, type ExitCode} from '../output/index.js';
import {reportClientError, type CommandContext} from './context.js';

function targetState(target: TargetStatus, status: ClusterStatus): string {
  if (target.isLapsed) return 'silent';
  if (status.outTargets.includes(target.target)) return 'out';
  if (status.outZones.includes(target.zone)) return 'zone out';
  if (target.isLeaving) return 'leaving';
  return target.isWarm ? 'warm' : 'cold';
}

function statusLines(status: ClusterStatus): string[] {
  const entries = status.entries.map(entry => [
    entry.instance,
    entry.zone,
    `${entry.revision}`,
    `${entry.heardMsAgo} ms`,
    entry.hasLease ? 'held' : 'run out',
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
    `revision ${status.revision}, ${status.isInForce ? 'in force everywhere' : 'not yet confirmed everywhere'}`,
    `zones out: ${status.outZones.join(', ') || 'none'}; targets out: ${status.outTargets.join(', ') || 'none'}`,
    `ledger records ${status.ledgerRecords}, quarantined requests ${status.quarantined.length}`,
    '',
    ...formatTable(
      ['entry', 'zone', 'revision', 'heard ago', 'lease'],
      entries,
    ),
    '',
    ...formatTable(
      ['target', 'service', 'zone', 'state', 'running/granted/bears'],
      targets,
    ),
  ];
}

async function readStatus(
  context: CommandContext,
  show: (status: ClusterStatus) => readonly string[],
): Promise<ExitCode> {
  const answer = await context.client.get('/operator/status');
  if (answer.isErr()) return reportClientError(context.output, answer.error);
  const status = answer.value.body as ClusterStatus;
  print(context.output, status, () => show(status));
  return EXIT.done;
}

export function showStatus(context: CommandContext): Promise<ExitCode> {
  return readStatus(context, statusLines);
}

export function showVoters(context: CommandContext): Promise<ExitCode> {
  return readStatus(context, status =>
    formatTable(
      ['replica', 'role', 'silent', 'lag'],
      status.members.map(member => [
        member.replica,
        member.role,
        `${member.silentMs} ms`,
        `${member.lagEntries} entries`,
      ]),
    ),
  );
}

export async function bootstrapVoters(
  context: CommandContext,
): Promise<ExitCode> {
  const answer = await context.client.post('/operator/bootstrap', {});
  if (answer.isErr()) return reportClientError(context.output, answer.error);
  const body = answer.value.body as {
    readonly kind: string;
    readonly replica?: string;
    readonly reason?: string;
  };
  const isFormed = body.kind === 'ok';
  print(context.output, body, () => [
    isFormed
      ? `the group is formed; its first voter is ${body.replica}`
      : `refused: ${body.reason}`,
  ]);
  return isFormed ? EXIT.done : EXIT.failed;
}
