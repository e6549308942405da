/** Splits one line of a rules file into words with their columns. */
import {err, ok, type Result} from 'neverthrow';
import type {RuleError} from './types.js';

/** A word of a rule: a name without `=`, or one `key=value` pair. */
export interface Word {
  readonly column: number;
  readonly key: string | undefined;
  readonly value: string;
  readonly valueColumn: number;
}

export interface RuleLine {
  readonly line: number;
  readonly sourceLine: string;
  readonly words: readonly Word[];
  readonly requestedBy: string;
}

export const MAX_LINE_LENGTH = 2_000;
const REQUESTED_BY = /^\s*[^\s:][^:]*:\s*\S/;

function toWord(text: string, column: number): Word {
  const equalsIndex = text.indexOf('=');
  if (equalsIndex < 0) {
    return {column, key: undefined, value: text, valueColumn: column};
  }
  return {
    column,
    key: text.slice(0, equalsIndex),
    value: text.slice(equalsIndex + 1),
    valueColumn: column + equalsIndex + 1,
  };
}

/** Returns undefined for a blank line and for a line with only a comment. */
export function splitLine(
  line: number,
  sourceLine: string,
): Result<RuleLine | undefined, RuleError> {
  const fail = (column: number, message: string) =>
    err({line, column, message, sourceLine: sourceLine.slice(0, 200)});
  if (sourceLine.length > MAX_LINE_LENGTH) {
    return fail(
      MAX_LINE_LENGTH + 1,
      `a line has at most ${MAX_LINE_LENGTH} characters`,
    );
  }
  const hashIndex = sourceLine.indexOf('#');
  const body = hashIndex < 0 ? sourceLine : sourceLine.slice(0, hashIndex);
  if (body.trim() === '') return ok(undefined);
  if (hashIndex < 0) {
    return fail(
      sourceLine.length + 1,
      'a rule ends with a comment naming who asked for it: # NAME: REASON',
    );
  }
  const comment = sourceLine.slice(hashIndex + 1);
  if (!REQUESTED_BY.test(comment)) {
    return fail(
      hashIndex + 1,
      'the comment must name who asked for the rule and why: # NAME: REASON',
    );
  }
  const words: Word[] = [];
  for (const match of body.matchAll(/\S+/g)) {
    words.push(toWord(match[0], match.index + 1));
  }
  return ok({line, sourceLine, words, requestedBy: comment.trim()});
}
