/**
 * The replicated state machine of a deployment: the configuration, the results
 * of operators' commands and the ledger. Commands are JSON, applied in log
 * order.
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
const MAX_CONFLICT_CHANGES = 20;

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

function summarizeDelta(delta: ConfigDelta): ChangeSummary {
  const {revision, operator, commandId, acceptedAtMs, edit} = delta;
  const description = describeEdit(edit);
  return {revision, operator, commandId, acceptedAtMs, description};
}

function decideOperatorCommand(
  tables: ControlTables,
  command: OperatorCommand,
): OperatorResult {
  const {config} = tables;
  const {baseRevision} = command;
  if (baseRevision !== config.revision) {
    const changesSince = tables.recentDeltas
      .filter(delta => delta.revision > baseRevision)
      .slice(0, MAX_CONFLICT_CHANGES)
      .map(summarizeDelta);
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

function applyOperatorCommand(
  tables: ControlTables,
  command: OperatorCommand,
): OperatorResult {
  const first = tables.operatorResults.get(command.commandId);
  if (first) return first;
  const result = decideOperatorCommand(tables, command);
  tables.operatorResults.set(command.commandId, result);
  if (tables.operatorResults.size > MAX_KEPT_RESULTS) {
    // A later resend of this command is a conflict: its base revision is old.
    const oldest = tables.operatorResults.keys().next().value as CommandId;
    tables.operatorResults.delete(oldest);
  }
  return result;
}

export function applyControlCommand(
  tables: ControlTables,
  command: ControlCommand,
): ControlResult {
  if (command.kind === 'operator') return applyOperatorCommand(tables, command);
  return applyLedgerCommand(tables.ledger, command);
}

/**
 * Returns the deltas that a daemon at `revision` is missing; undefined if some
 * are no longer kept or `revision` is newer than the current one.
 */
export function deltasSince(
  tables: ControlTables,
  revision: number,
): readonly ConfigDelta[] | undefined {
  if (revision > tables.config.revision) return undefined;
  const missingDeltas = tables.recentDeltas.filter(
    delta => delta.revision > revision,
  );
  const isComplete = missingDeltas.length === tables.config.revision - revision;
  return isComplete ? missingDeltas : undefined;
}

interface SnapshotBody {
  readonly config: ConfigView;
  readonly recentDeltas: readonly ConfigDelta[];
  readonly answers: ReadonlyArray<readonly [CommandId, OperatorResult]>;
  readonly ledger: ReadonlyArray<readonly [string, LedgerRecord]>;
}

/**
 * Implements the state machine interface of a replica on the control tables.
 */
export class ControlStateMachine {
  tables = createControlTables();
  /** Called after each change of the configuration and after a restore. */
  onConfig: (config: ConfigView) => void = () => undefined;

  apply(text: string): ControlResult {
    const before = this.tables.config;
    const result = applyControlCommand(
      this.tables,
      JSON.parse(text) as ControlCommand,
    );
    if (this.tables.config !== before) this.onConfig(this.tables.config);
    return result;
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
    for (const [id, result] of body.answers)
      tables.operatorResults.set(id, result);
    for (const [key, record] of body.ledger) {
      putRecord(tables.ledger, key, record);
    }
    this.tables = tables;
    this.onConfig(tables.config);
  }
}
