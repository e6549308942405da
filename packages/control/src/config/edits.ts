/** Computes, applies and describes edits of the configuration. */
import {createHash} from 'node:crypto';
import {revision} from '@samphirefield/core';
import type {
  ConfigDelta,
  ConfigEdit,
  ConfigView,
  RulesSplice,
} from './types.js';

export const EMPTY_CONFIG: ConfigView = {
  revision: revision(0),
  rulesText: '',
  outZones: [],
  outTargets: [],
};

/**
 * Returns a single splice that turns the lines of `before` into those of
 * `after`.
 */
export function diffRules(before: string, after: string): RulesSplice {
  const oldLines = before.split('\n');
  const newLines = after.split('\n');
  const minLength = Math.min(oldLines.length, newLines.length);
  let prefixLength = 0;
  while (
    prefixLength < minLength &&
    oldLines[prefixLength] === newLines[prefixLength]
  )
    prefixLength += 1;
  let suffixLength = 0;
  while (
    suffixLength < minLength - prefixLength &&
    oldLines[oldLines.length - 1 - suffixLength] ===
      newLines[newLines.length - 1 - suffixLength]
  ) {
    suffixLength += 1;
  }
  return {
    kind: 'rules',
    firstLine: prefixLength,
    removedLines: oldLines.length - prefixLength - suffixLength,
    insertedLines: newLines.slice(prefixLength, newLines.length - suffixLength),
  };
}

function withMember<T extends string>(
  members: readonly T[],
  member: T,
  isMember: boolean,
): T[] {
  const others = members.filter(item => item !== member);
  return isMember ? [...others, member].sort() : others;
}

export function applyEdit(view: ConfigView, edit: ConfigEdit): ConfigView {
  const next = revision(view.revision + 1);
  switch (edit.kind) {
    case 'rules': {
      const lines = view.rulesText.split('\n');
      lines.splice(edit.firstLine, edit.removedLines, ...edit.insertedLines);
      return {...view, revision: next, rulesText: lines.join('\n')};
    }
    case 'zone': {
      const outZones = withMember(view.outZones, edit.zone, edit.isOut);
      return {...view, revision: next, outZones};
    }
    case 'target': {
      const outTargets = withMember(view.outTargets, edit.target, edit.isOut);
      return {...view, revision: next, outTargets};
    }
  }
}

/** Returns whether an edit leaves the configuration unchanged. */
export function isNoChange(view: ConfigView, edit: ConfigEdit): boolean {
  switch (edit.kind) {
    case 'rules':
      return edit.removedLines === 0 && edit.insertedLines.length === 0;
    case 'zone':
      return view.outZones.includes(edit.zone) === edit.isOut;
    case 'target':
      return view.outTargets.includes(edit.target) === edit.isOut;
  }
}

/** Returns a hash that is equal on daemons with the same configuration. */
export function hashConfig(view: ConfigView): string {
  const HASH_CHARACTERS = 16;
  const parts = [
    `${view.revision}`,
    view.outZones.join(','),
    view.outTargets.join(','),
    view.rulesText,
  ];
  return createHash('sha256')
    .update(parts.join('\0'))
    .digest('hex')
    .slice(0, HASH_CHARACTERS);
}

/** Applies consecutive deltas; returns undefined if a revision is missing. */
export function applyDeltas(
  view: ConfigView,
  deltas: readonly ConfigDelta[],
): ConfigView | undefined {
  let next = view;
  for (const delta of deltas) {
    if (delta.revision !== next.revision + 1) return undefined;
    next = applyEdit(next, delta.edit);
  }
  return next;
}

export function describeEdit(edit: ConfigEdit): string {
  switch (edit.kind) {
    case 'rules':
      return `rules: ${edit.removedLines} lines out, ${edit.insertedLines.length} in, from line ${edit.firstLine + 1}`;
    case 'zone':
      return `zone ${edit.zone} ${edit.isOut ? 'taken out' : 'brought back'}`;
    case 'target':
      return `target ${edit.target} ${edit.isOut ? 'taken out' : 'brought back'}`;
  }
}
