/** Parses a rules file and reports all errors at once, with line and column. */
import {err, ok, type Result} from 'neverthrow';
import {
  RULE_SPECS,
  nameValue,
  type RuleSpec,
  type RuleValues,
} from './grammar.js';
import {splitLine, type RuleLine, type Word} from './lexer.js';
import {indexRules} from './ruleset.js';
import type {Rule, RuleError, RuleSet} from './types.js';

export const MAX_RULES_BYTES = 4_194_304;

type Report = (column: number, message: string) => void;

function readName(
  spec: RuleSpec,
  line: RuleLine,
  report: Report,
): string | undefined {
  const [kindWord, ...rest] = line.words;
  const bareWords = rest.filter(word => word.key === undefined);
  const first = bareWords[0];
  const end = kindWord!.column + kindWord!.value.length;
  if (spec.nameAllowed === 'none' && first) {
    report(
      first.column,
      `'${kindWord!.value}' takes no name, only key=value pairs`,
    );
    return undefined;
  }
  if (spec.nameAllowed === 'required' && !first) {
    report(end, `'${kindWord!.value}' needs a name`);
    return undefined;
  }
  for (const extra of bareWords.slice(1)) {
    report(extra.column, `unexpected word '${extra.value}'`);
  }
  if (first && nameValue.parse(first.value) === undefined) {
    report(first.column, `'${first.value}' is not ${nameValue.allowed}`);
  }
  return first?.value;
}

function readPair(
  spec: RuleSpec,
  word: Word,
  values: Record<string, string | number | boolean | undefined>,
  report: Report,
): void {
  const key = word.key!;
  const keySpec = Object.hasOwn(spec.keys, key) ? spec.keys[key] : undefined;
  if (keySpec === undefined) {
    const known = Object.keys(spec.keys).join(', ') || 'none';
    report(word.column, `unknown key '${key}'; allowed here: ${known}`);
    return;
  }
  if (Object.hasOwn(values, key)) {
    report(word.column, `key '${key}' is given twice`);
    return;
  }
  const value = keySpec.value.parse(word.value);
  if (value === undefined) {
    report(word.valueColumn, `'${word.value}' is not ${keySpec.value.allowed}`);
  }
  values[key] = value;
}

function readValues(
  spec: RuleSpec,
  line: RuleLine,
  report: Report,
): RuleValues {
  const values: Record<string, string | number | boolean | undefined> = {};
  for (const word of line.words.slice(1)) {
    if (word.key !== undefined) readPair(spec, word, values, report);
  }
  const kindWord = line.words[0]!;
  for (const [key, keySpec] of Object.entries(spec.keys)) {
    if (Object.hasOwn(values, key)) continue;
    if (keySpec.isRequired) {
      report(
        kindWord.column + kindWord.value.length,
        `'${kindWord.value}' needs ${key}=..., ${keySpec.value.allowed}`,
      );
    }
    values[key] = keySpec.defaultValue;
  }
  return values;
}

function readRule(line: RuleLine, errors: RuleError[]): Rule | undefined {
  const before = errors.length;
  const report: Report = (column, message) => {
    errors.push({
      line: line.line,
      column,
      message,
      sourceLine: line.sourceLine,
    });
  };
  const kind = line.words[0]!;
  const isKnown =
    kind.key === undefined && Object.hasOwn(RULE_SPECS, kind.value);
  if (!isKnown) {
    const known = Object.keys(RULE_SPECS).join(', ');
    report(
      kind.column,
      `unknown rule '${kind.value}'; a line starts with one of ${known}`,
    );
    return undefined;
  }
  const spec = RULE_SPECS[kind.value]!;
  const name = readName(spec, line, report);
  const values = readValues(spec, line, report);
  if (errors.length > before) return undefined;
  const source = {line: line.line, requestedBy: line.requestedBy};
  return spec.build(name, values, source);
}

/** Parses and validates the text of a rules file and indexes its rules. */
export function parseRules(
  text: string,
): Result<RuleSet, readonly RuleError[]> {
  if (Buffer.byteLength(text) > MAX_RULES_BYTES) {
    const message = `a rules file has at most ${MAX_RULES_BYTES} bytes`;
    return err([{line: 1, column: 1, message, sourceLine: ''}]);
  }
  const errors: RuleError[] = [];
  const rules: Rule[] = [];
  const sourceLines = text.split(/\r?\n/);
  sourceLines.forEach((sourceLine, index) => {
    const split = splitLine(index + 1, sourceLine);
    if (split.isErr()) {
      errors.push(split.error);
      return;
    }
    if (split.value === undefined) return;
    const rule = readRule(split.value, errors);
    if (rule) rules.push(rule);
  });
  const ruleSet = indexRules(rules, (line, message) => {
    errors.push({
      line,
      column: 1,
      message,
      sourceLine: sourceLines[line - 1] ?? '',
    });
  });
  if (errors.length > 0) {
    return err(errors.sort((a, b) => a.line - b.line || a.column - b.column));
  }
  return ok(ruleSet);
}

/** Formats an error as FILE:LINE:COLUMN with the line and a caret below it. */
export function formatRuleError(file: string, error: RuleError): string {
  const caret = `${' '.repeat(Math.max(0, error.column - 1))}^`;
  const line = error.sourceLine.replaceAll('\t', ' ');
  return `${file}:${error.line}:${error.column}: ${error.message}\n  ${line}\n  ${caret}`;
}
