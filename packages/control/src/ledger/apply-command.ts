/** Applies ledger commands. Every command may come twice and late. */
import type {ClaimId, Fingerprint} from '@samphirefield/core';
import {
  dropOldAnswers,
  expireRecords,
  putRecord,
  type LedgerTable,
} from './ledger-table.js';
import type {
  AbandonCommand,
  ClaimCommand,
  CompleteCommand,
  ForgetCommand,
  LedgerResult,
  LedgerCommand,
  LedgerRecord,
  ReleaseCommand,
} from './types.js';

const MAX_RELEASED_KEPT = 8;
const RECORDED: LedgerResult = {kind: 'recorded'};

function answerKnown(record: LedgerRecord, claimId: ClaimId): LedgerResult {
  switch (record.state) {
    case 'claimed':
      return {kind: record.claimId === claimId ? 'granted' : 'in_progress'};
    case 'done':
      return {kind: 'done', answer: record.answer};
    case 'released':
      return {kind: 'released'};
    case 'unknown':
      return {kind: 'unknown'};
  }
}

function claim(table: LedgerTable, command: ClaimCommand): LedgerResult {
  const {key, claimId, fingerprint, holder, atMs, bounds} = command;
  expireRecords(table, atMs - bounds.retentionMs);
  const known = table.records.get(key);
  if (known?.released.includes(claimId)) return {kind: 'released'};
  // A key whose claim was given back is free for any other one.
  if (known && known.state !== 'released') {
    if (known.fingerprint !== fingerprint) return {kind: 'mismatch'};
    return answerKnown(known, claimId);
  }
  if (!known && table.records.size >= bounds.maxRecords) return {kind: 'full'};
  putRecord(table, key, {
    claimId,
    fingerprint,
    holder,
    state: 'claimed',
    answer: undefined,
    released: known?.released ?? [],
    updatedAtMs: atMs,
  });
  return {kind: 'granted'};
}

function complete(table: LedgerTable, command: CompleteCommand): LedgerResult {
  const {key, claimId, answer, atMs, bounds} = command;
  const known = table.records.get(key);
  if (known?.claimId !== claimId || known.state === 'released') return RECORDED;
  if (known.state === 'done') return RECORDED;
  // An unknown outcome that its holder still learned is known from now on.
  putRecord(table, key, {...known, state: 'done', answer, updatedAtMs: atMs});
  dropOldAnswers(table, bounds.maxAnswerBytes);
  return RECORDED;
}

function release(table: LedgerTable, command: ReleaseCommand): LedgerResult {
  const {key, claimId, holder, atMs} = command;
  const known = table.records.get(key);
  if (known && known.claimId !== claimId)
    return noteReleased(table, command, known);
  if (known?.state === 'done') return {kind: 'done', answer: known.answer};
  if (known?.state === 'unknown') return {kind: 'unknown'};
  // Without a record the claim itself may still be on its way: the released
  // record refuses it when it comes.
  putRecord(table, key, {
    claimId,
    fingerprint: known?.fingerprint ?? ('' as LedgerRecord['fingerprint']),
    holder,
    state: 'released',
    answer: undefined,
    released: [...(known?.released ?? []), claimId].slice(-MAX_RELEASED_KEPT),
    updatedAtMs: atMs,
  });
  return RECORDED;
}

/** Another claim has the key: this one may never get it any more. */
function noteReleased(
  table: LedgerTable,
  command: ReleaseCommand,
  known: LedgerRecord,
): LedgerResult {
  const released = [...known.released, command.claimId];
  putRecord(table, command.key, {
    ...known,
    released: released.slice(-MAX_RELEASED_KEPT),
  });
  return RECORDED;
}

function forget(table: LedgerTable, command: ForgetCommand): LedgerResult {
  const known = table.records.get(command.key);
  if (known?.claimId !== command.claimId || known.state !== 'claimed') {
    return RECORDED;
  }
  putRecord(table, command.key, {
    ...known,
    state: 'unknown',
    updatedAtMs: command.atMs,
  });
  return RECORDED;
}

function abandon(table: LedgerTable, command: AbandonCommand): LedgerResult {
  const keys = [...(table.keysByHolder.get(command.holder) ?? [])];
  for (const key of keys) {
    const record = table.records.get(key)!;
    putRecord(table, key, {
      ...record,
      state: 'unknown',
      updatedAtMs: command.atMs,
    });
  }
  return RECORDED;
}

export function applyLedgerCommand(
  table: LedgerTable,
  command: LedgerCommand,
): LedgerResult {
  switch (command.kind) {
    case 'claim':
      return claim(table, command);
    case 'complete':
      return complete(table, command);
    case 'release':
      return release(table, command);
    case 'forget':
      return forget(table, command);
    case 'abandon':
      return abandon(table, command);
  }
}

/** Looks a key up for a request, without claiming it. */
export function lookUpKey(
  table: LedgerTable,
  key: string,
  fingerprint: Fingerprint,
): LedgerResult | undefined {
  const record = table.records.get(key);
  if (record === undefined) return undefined;
  if (record.state === 'released') return {kind: 'released'};
  if (record.fingerprint !== fingerprint) return {kind: 'mismatch'};
  return record.state === 'claimed'
    ? {kind: 'in_progress'}
    : answerKnown(record, record.claimId);
}
