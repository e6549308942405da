/** `samphirefield check` and `samphirefield apply`. */
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {formatRuleError, parseRules} from '@samphirefield/core';
import {diffRules} from '@samphirefield/control';
import {EXIT, print, type ExitCode, type Output} from '../output/index.js';
import {readBaseConfig, sendChange} from './change.js';
import {reportClientError, type CommandContext} from './context.js';

function readFile(file: string): Result<string, string> {
  try {
    return ok(readFileSync(file, 'utf8'));
  } catch (error) {
    return err(
      `${file}: cannot be read (${(error as NodeJS.ErrnoException).code})`,
    );
  }
}

export function checkRulesFile(output: Output, file: string): ExitCode {
  const text = readFile(file);
  if (text.isErr()) {
    output.error(text.error);
    return EXIT.badInput;
  }
  const rules = parseRules(text.value);
  if (rules.isErr()) {
    if (output.isJson)
      output.line(JSON.stringify({valid: false, errors: rules.error}));
    else
      for (const error of rules.error)
        output.error(formatRuleError(file, error));
    return EXIT.badInput;
  }
  const {services, workspaces, models} = rules.value;
  const summary = {
    valid: true,
    services: services.size,
    workspaces: workspaces.size,
    models: models.size,
  };
  print(output, summary, () => [
    `${file}: ${services.size} services, ${workspaces.size} workspaces, ${models.size} models`,
  ]);
  return EXIT.done;
}

function formatDiff(before: string, after: string): string[] {
  const {firstLine, removedLines, insertedLines} = diffRules(before, after);
  const removed = before.split('\n').slice(firstLine, firstLine + removedLines);
  if (removed.length === 0 && insertedLines.length === 0)
    return ['no difference'];
  return [
    `@@ line ${firstLine + 1} @@`,
    ...removed.map(line => `-${line}`),
    ...insertedLines.map(line => `+${line}`),
  ];
}

export async function applyRulesFile(
  context: CommandContext,
  file: string,
  isDryRun: boolean,
): Promise<ExitCode> {
  const {output} = context;
  const quietOutput: Output = {...output, line: () => undefined};
  const checkResult = checkRulesFile(quietOutput, file);
  if (checkResult !== EXIT.done) return checkResult;
  const text = readFileSync(file, 'utf8');
  const base = await readBaseConfig(context);
  if (base.isErr()) return reportClientError(output, base.error);
  const {view, baseRevision} = base.value;
  if (!output.isJson) formatDiff(view.rulesText, text).forEach(output.line);
  if (isDryRun) {
    if (output.isJson)
      output.line(
        JSON.stringify({baseRevision, diff: formatDiff(view.rulesText, text)}),
      );
    return EXIT.done;
  }
  const change = {kind: 'apply_rules' as const, text};
  return sendChange(context, {change, baseRevision, isUnseenAllowed: false});
}
