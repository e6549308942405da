/**
 * The replicated state machine of a deployment: configuration, operators'
 * answers and the ledger. Commands come as JSON, in the order of the log.
 */
import {Packr} from 'msgpackr';
import type {CommandId} from '@samphirefield/core';
import {
  applyEdit,
  describeEdit,
  diffRules,
  EMPTY_CONFIG,
  hashConfig,
  isNoChange,
  type ConfigDelta,
  type ConfigEdit,
  type ConfigView,
} from '../config/index.js';
import {
  applyLedgerCommand,
  createLedger,
  putRecord,
  type LedgerRecord,
} from '../ledger/index.js';
import type {
  ChangeSummary,
  OperatorAnswer,
  OperatorChange,
  OperatorCommand,
} from '../operators/index.js';
import type {ControlAnswer, ControlCommand, ControlTables} from './types.js';

export const MAX_RECENT_DELTAS = 512;
export const MAX_KEPT_ANSWERS = 10_000;
const MAX_CHANGES_TOLD = 20;

const packr = new Packr({useRecords: false});

export function createTables(): ControlTables {
  return {
    config: EMPTY_CONFIG,
    configHash: hashConfig(EMPTY_CONFIG),
    recentDeltas: [],
    answers: new Map(),
    ledger: createLedger(),
  };
}

export function toEdit(view: ConfigView, change: OperatorChange): ConfigEdit {
  if (change.kind !== 'apply_rules') return change;
  return diffRules(view.rulesText, change.text);
}

function summarize(delta: ConfigDelta): ChangeSummary {
  const {revision, operator, commandId, acceptedAtMs, edit} = delta;
  const description = describeEdit(edit);
  return {revision, operator, commandId, acceptedAtMs, description};
}

function decideOperator(
  tables: ControlTables,
  command: OperatorCommand,
): OperatorAnswer {
  const {config} = tables;
  const {baseRevision} = command;
  if (baseRevision !== config.revision) {
    const changesSince = tables.recentDeltas
      .filter(delta => delta.revision > baseRevision)
      .slice(0, MAX_CHANGES_TOLD)
      .map(summarize);
    const {revision} = config;
    return {kind: 'conflict', baseRevision, revision, changesSince};
  }
  const edit = toEdit(config, command.change);
  if (isNoChange(config, edit)) {
    return {kind: 'unchanged', revision: config.revision};
  }
  const next = applyEdit(config, edit);
  tables.config = next;
  tables.configHash = hashConfig(next);
  tables.recentDeltas.push({
    revision: next.revision,
    commandId: command.commandId,
    operator: command.operator,
    acceptedAtMs: command.atMs,
    edit,
  });
  if (tables.recentDeltas.length > MAX_RECENT_DELTAS) {
    tables.recentDeltas.shift();
  }
  const description = describeEdit(edit);
  return {kind: 'accepted', revision: next.revision, description};
}

function applyOperator(
  tables: ControlTables,
  command: OperatorCommand,
): OperatorAnswer {
  const first = tables.answers.get(command.commandId);
  if (first) return first;
  const answer = decideOperator(tables, command);
  tables.answers.set(command.commandId, answer);
  if (tables.answers.size > MAX_KEPT_ANSWERS) {
    // Its base revision is long past: a resend after this is a conflict.
    const oldest = tables.answers.keys().next().value as CommandId;
    tables.answers.delete(oldest);
  }
  return answer;
}

export function applyCommand(
  tables: ControlTables,
  command: ControlCommand,
): ControlAnswer {
  if (command.kind === 'operator') return applyOperator(tables, command);
  return applyLedgerCommand(tables.ledger, command);
}

/** What a daemon that holds `revision` lacks; undefined when too far behind. */
export function deltasSince(
  tables: ControlTables,
  revision: number,
): readonly ConfigDelta[] | undefined {
  if (revision > tables.config.revision) return undefined;
  const missing = tables.recentDeltas.filter(
    delta => delta.revision > revision,
  );
  const isWhole = missing.length === tables.config.revision - revision;
  return isWhole ? missing : undefined;
}

interface SnapshotBody {
  readonly config: ConfigView;
  readonly recentDeltas: readonly ConfigDelta[];
  readonly answers: ReadonlyArray<readonly [CommandId, OperatorAnswer]>;
  readonly ledger: ReadonlyArray<readonly [string, LedgerRecord]>;
}

/** The control tables behind the interface that a replica drives. */
export class ControlMachine {
  tables = createTables();
  /** Called after each change of the configuration. */
  onConfig: (config: ConfigView) => void = () => undefined;

  apply(text: string): ControlAnswer {
    const before = this.tables.config;
    const answer = applyCommand(
      this.tables,
      JSON.parse(text) as ControlCommand,
    );
    if (this.tables.config !== before) this.onConfig(this.tables.config);
    return answer;
  }

  snapshot(): Uint8Array {
    const body: SnapshotBody = {
      config: this.tables.config,
      recentDeltas: this.tables.recentDeltas,
      answers: [...this.tables.answers],
      ledger: [...this.tables.ledger.records],
    };
    return packr.pack(body);
  }

  restore(data: Uint8Array): void {
    const body = packr.unpack(data) as SnapshotBody;
    const tables = createTables();
    tables.config = body.config;
    tables.configHash = hashConfig(body.config);
    tables.recentDeltas = [...body.recentDeltas];
    for (const [id, answer] of body.answers) tables.answers.set(id, answer);
    for (const [key, record] of body.ledger) {
      putRecord(tables.ledger, key, record);
    }
    this.tables = tables;
    this.onConfig(tables.config);
  }
}
