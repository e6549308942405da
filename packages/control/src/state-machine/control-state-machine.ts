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
  OperatorResult,
  OperatorChange,
  OperatorCommand,
} from '../operators/index.js';
import type {ControlResult, ControlCommand, ControlTables} from './types.js';

export const MAX_RECENT_DELTAS = 512;
export const MAX_KEPT_RESULTS = 10_000;
const MAX_CHANGES_TOLD = 20;

const packr = new Packr({useRecords: false});

export function createControlTables(): ControlTables {
  return {
    config: EMPTY_CONFIG,
    configHash: hashConfig(EMPTY_CONFIG),
    recentDeltas: [],
    operatorResults: new Map(),
    ledger: createLedger(),
  };
}

export function toConfigEdit(
  view: ConfigView,
  change: OperatorChange,
): ConfigEdit {
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
): OperatorResult {
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
  const edit = toConfigEdit(config, command.change);
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
): OperatorResult {
  const first = tables.operatorResults.get(command.commandId);
  if (first) return first;
  const answer = decideOperator(tables, command);
  tables.operatorResults.set(command.commandId, answer);
  if (tables.operatorResults.size > MAX_KEPT_RESULTS) {
    // Its base revision is long past: a resend after this is a conflict.
    const oldest = tables.operatorResults.keys().next().value as CommandId;
    tables.operatorResults.delete(oldest);
  }
  return answer;
}

export function applyControlCommand(
  tables: ControlTables,
  command: ControlCommand,
): ControlResult {
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
  readonly answers: ReadonlyArray<readonly [CommandId, OperatorResult]>;
  readonly ledger: ReadonlyArray<readonly [string, LedgerRecord]>;
}

/** The control tables behind the interface that a replica drives. */
export class ControlStateMachine {
  tables = createControlTables();
  /** Called after each change of the configuration. */
  onConfig: (config: ConfigView) => void = () => undefined;

  apply(text: string): ControlResult {
    const before = this.tables.config;
    const answer = applyControlCommand(
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
      answers: [...this.tables.operatorResults],
      ledger: [...this.tables.ledger.records],
    };
    return packr.pack(body);
  }

  restore(data: Uint8Array): void {
    const body = packr.unpack(data) as SnapshotBody;
    const tables = createControlTables();
    tables.config = body.config;
    tables.configHash = hashConfig(body.config);
    tables.recentDeltas = [...body.recentDeltas];
    for (const [id, answer] of body.answers)
      tables.operatorResults.set(id, answer);
    for (const [key, record] of body.ledger) {
      putRecord(tables.ledger, key, record);
    }
    this.tables = tables;
    this.onConfig(tables.config);
  }
}
