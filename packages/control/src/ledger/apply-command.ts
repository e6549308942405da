/**
 * Applies ledger commands. Every command may arrive more than once and late.
 */
import type {ClaimId, Fingerprint} from '@samphirefield/core';
import {
  dropOldResponses,
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

const MAX_RELEASED_CLAIMS = 8;
const RECORDED: LedgerResult = {kind: 'recorded'};

function resultFromRecord(
  record: LedgerRecord,
  claimId: ClaimId,
): LedgerResult {
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
  const existing = table.records.get(key);
  if (existing?.released.includes(claimId)) return {kind: 'released'};
  // A key whose claim was released can be claimed under another claim id.
  if (existing && existing.state !== 'released') {
    if (existing.fingerprint !== fingerprint) return {kind: 'mismatch'};
    return resultFromRecord(existing, claimId);
  }
  if (!existing && table.records.size >= bounds.maxRecords)
    return {kind: 'full'};
  putRecord(table, key, {
    claimId,
    fingerprint,
    holder,
    state: 'claimed',
    answer: undefined,
    released: existing?.released ?? [],
    updatedAtMs: atMs,
  });
  return {kind: 'granted'};
}

function complete(table: LedgerTable, command: CompleteCommand): LedgerResult {
  const {key, claimId, answer, atMs, bounds} = command;
  const existing = table.records.get(key);
  if (existing?.claimId !== claimId || existing.state === 'released')
    return RECORDED;
  if (existing.state === 'done') return RECORDED;
  // An unknown outcome becomes known if the holder still completes the
  // claim.
  putRecord(table, key, {
    ...existing,
    state: 'done',
    answer,
    updatedAtMs: atMs,
  });
  dropOldResponses(table, bounds.maxAnswerBytes);
  return RECORDED;
}

function release(table: LedgerTable, command: ReleaseCommand): LedgerResult {
  const {key, claimId, holder, atMs} = command;
  const existing = table.records.get(key);
  if (existing && existing.claimId !== claimId)
    return recordRelease(table, command, existing);
  if (existing?.state === 'done')
    return {kind: 'done', answer: existing.answer};
  if (existing?.state === 'unknown') return {kind: 'unknown'};
  // Without a record, the claim command may still be in flight: the released
  // record refuses it when it arrives.
  putRecord(table, key, {
    claimId,
    fingerprint: existing?.fingerprint ?? ('' as LedgerRecord['fingerprint']),
    holder,
    state: 'released',
    answer: undefined,
    released: [...(existing?.released ?? []), claimId].slice(
      -MAX_RELEASED_CLAIMS,
    ),
    updatedAtMs: atMs,
  });
  return RECORDED;
}

/**
 * Records the release of a claim whose key another claim holds, so that it is
 * never granted.
 */
function recordRelease(
  table: LedgerTable,
  command: ReleaseCommand,
  existing: LedgerRecord,
): LedgerResult {
  const released = [...existing.released, command.claimId];
  putRecord(table, command.key, {
    ...existing,
    released: released.slice(-MAX_RELEASED_CLAIMS),
  });
  return RECORDED;
}

function forget(table: LedgerTable, command: ForgetCommand): LedgerResult {
  const existing = table.records.get(command.key);
  if (existing?.claimId !== command.claimId || existing.state !== 'claimed') {
    return RECORDED;
  }
  putRecord(table, command.key, {
    ...existing,
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

/**
 * Looks up a key for a request without claiming it; undefined if it has no
 * record.
 */
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
    : resultFromRecord(record, record.claimId);
}
