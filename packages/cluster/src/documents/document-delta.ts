/**
 * Differences between two versions of a JSON document. A delta holds the fields
 * that changed and, of lists, the items that changed; the rest is copied. An
 * item that is copied stays the same object, so that what was derived from it
 * can be reused.
 */
import {err, ok, type Result} from 'neverthrow';

/** Items copied from the earlier list, or new ones. */
export type ListPart =
  | {readonly from: number; readonly count: number}
  | {readonly items: readonly unknown[]};

export type FieldDelta =
  {readonly value: unknown} | {readonly parts: readonly ListPart[]};

export type DocumentDelta =
  | {readonly whole: unknown}
  | {
      /** The fields that changed or were added. */
      readonly fields: Readonly<Record<string, FieldDelta>>;
      readonly removed: readonly string[];
    };

/** The delta belongs to another document. */
export type DeltaError = 'mismatch';

type JsonObject = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isEqual(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function diffLists(
  before: readonly unknown[],
  after: readonly unknown[],
): readonly ListPart[] {
  const positions = new Map(
    before.map((item, position) => [JSON.stringify(item), position]),
  );
  const parts: Array<{from: number; count: number} | {items: unknown[]}> = [];
  for (const item of after) {
    const position = positions.get(JSON.stringify(item));
    const last = parts.at(-1);
    if (position === undefined) {
      if (last && 'items' in last) last.items.push(item);
      else parts.push({items: [item]});
    } else if (last && 'from' in last && last.from + last.count === position) {
      last.count += 1;
    } else {
      parts.push({from: position, count: 1});
    }
  }
  return parts;
}

function diffFields(before: unknown, after: unknown): FieldDelta | undefined {
  if (Array.isArray(before) && Array.isArray(after)) {
    const parts = diffLists(before, after);
    const [first] = parts;
    const isCopy =
      parts.length === 1 &&
      'from' in first! &&
      first.count === before.length &&
      before.length === after.length;
    return isCopy || before.length + after.length === 0 ? undefined : {parts};
  }
  return isEqual(before, after) ? undefined : {value: after};
}

/** The delta that turns one document into the other. */
export function diffDocuments(before: unknown, after: unknown): DocumentDelta {
  if (!isObject(before) || !isObject(after)) return {whole: after};
  const changed = Object.entries(after).flatMap(([name, value]) => {
    const delta = Object.hasOwn(before, name)
      ? diffFields(before[name], value)
      : {value};
    return delta ? [[name, delta] as const] : [];
  });
  const removed = Object.keys(before).filter(
    name => !Object.hasOwn(after, name),
  );
  return {fields: Object.fromEntries(changed), removed};
}

function applyParts(
  before: unknown,
  parts: readonly ListPart[],
): Result<unknown[], DeltaError> {
  if (!Array.isArray(before)) return err('mismatch');
  const after: unknown[] = [];
  for (const part of parts) {
    if ('items' in part) {
      for (const item of part.items) after.push(item);
      continue;
    }
    const {from, count} = part;
    if (from < 0 || from + count > before.length) return err('mismatch');
    for (let i = from; i < from + count; i += 1) after.push(before[i]);
  }
  return ok(after);
}

/** Returns the later document; the earlier one stays as it is. */
export function applyDelta(
  before: unknown,
  delta: DocumentDelta,
): Result<unknown, DeltaError> {
  if ('whole' in delta) return ok(delta.whole);
  if (!isObject(before)) return err('mismatch');
  const after = new Map(Object.entries(before));
  for (const name of delta.removed) after.delete(name);
  for (const [name, field] of Object.entries(delta.fields)) {
    if ('value' in field) {
      after.set(name, field.value);
      continue;
    }
    const list = applyParts(before[name], field.parts);
    if (list.isErr()) return err(list.error);
    after.set(name, list.value);
  }
  return ok(Object.fromEntries(after));
}
