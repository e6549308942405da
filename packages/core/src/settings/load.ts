/**
 * Reads and validates a settings file. Every problem is reported with the file,
 * the key, the value found and the values allowed.
 */
import {
  accessSync,
  constants,
  existsSync,
  readFileSync,
  statSync,
} from 'node:fs';
import {dirname, resolve} from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import type {z} from 'zod';
import {settingsSchema, type Settings} from './schema.js';

export type SettingsError =
  | {kind: 'unreadable'; file: string; reason: string}
  | {kind: 'syntax'; file: string; reason: string}
  | {kind: 'invalid'; file: string; problems: readonly SettingsProblem[]};

/** One invalid key: its path, the value found and the values allowed. */
export interface SettingsProblem {
  readonly key: string;
  readonly found: string;
  readonly allowed: string;
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const part of path) {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[part];
  }
  return value;
}

const SECRET_KEY = /(^|\.)key$/;

function describeFound(key: string, value: unknown): string {
  if (value === undefined) return 'nothing';
  if (SECRET_KEY.test(key) && typeof value === 'string') {
    return `a key of ${value.length} characters`;
  }
  return JSON.stringify(value);
}

function toProblems(issue: z.core.$ZodIssue, root: unknown): SettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      key: [...issue.path, key].join('.'),
      found: 'an unknown key',
      allowed: 'only the keys of docs/SETTINGS.md',
    }));
  }
  const key = issue.path.join('.');
  const found = describeFound(key, valueAt(root, issue.path));
  return [{key, found, allowed: issue.message}];
}

/** Checks the constraints that involve more than one key. */
function checkConstraints(settings: Settings): SettingsProblem[] {
  const {timing} = settings;
  const problems: SettingsProblem[] = [];
  const require = (
    holds: boolean,
    key: keyof Settings['timing'],
    allowed: string,
  ) => {
    if (holds) return;
    problems.push({key: `timing.${key}`, found: `${timing[key]}`, allowed});
  };
  require(timing.election_timeout_max_ms >
    timing.election_timeout_min_ms, 'election_timeout_max_ms', 'more than timing.election_timeout_min_ms');
  require(timing.clock_drift_ms * 2 <
    timing.election_timeout_min_ms, 'clock_drift_ms', 'less than half of timing.election_timeout_min_ms');
  require(timing.view_lease_ms >=
    timing.heartbeat_ms *
      3, 'view_lease_ms', 'at least three times timing.heartbeat_ms');
  require(timing.target_lapse_ms >
    timing.heartbeat_ms *
      2, 'target_lapse_ms', 'more than twice timing.heartbeat_ms');
  return problems;
}

/** Parses and validates the text of a settings file. */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, SettingsError> {
  let root: unknown;
  try {
    root = parse(text);
  } catch (error) {
    const reason = (error as Error).message.split('\n')[0] ?? 'a syntax error';
    return err({kind: 'syntax', file, reason});
  }
  const checked = settingsSchema.safeParse(root);
  if (!checked.success) {
    const problems = checked.error.issues.flatMap(issue =>
      toProblems(issue, root),
    );
    return err({kind: 'invalid', file, problems});
  }
  const problems = checkConstraints(checked.data);
  if (problems.length > 0) return err({kind: 'invalid', file, problems});
  return ok(checked.data);
}

/** Returns the folder itself or its nearest ancestor that exists. */
function nearestExistingFolder(folder: string): string {
  const absolute = resolve(folder);
  return existsSync(absolute)
    ? absolute
    : nearestExistingFolder(dirname(absolute));
}

/** Checks that the data folder is writable or can be created; creates nothing. */
export function checkDataFolder(
  file: string,
  folder: string,
): Result<string, SettingsError> {
  try {
    const nearest = nearestExistingFolder(folder);
    if (!statSync(nearest).isDirectory()) throw new Error('not a folder');
    accessSync(nearest, constants.W_OK);
    return ok(folder);
  } catch (error) {
    const {code, message} = error as NodeJS.ErrnoException;
    const found = `${folder} (${code ?? message})`;
    const allowed = 'a folder that this process can write to';
    const problems = [{key: 'voter.data_folder', found, allowed}];
    return err({kind: 'invalid', file, problems});
  }
}

export function loadSettings(file: string): Result<Settings, SettingsError> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? 'unreadable';
    return err({kind: 'unreadable', file, reason});
  }
  const settings = parseSettings(file, text);
  if (settings.isErr()) return settings;
  const folder = settings.value.voter?.data_folder;
  if (folder === undefined) return settings;
  return checkDataFolder(file, folder).map(() => settings.value);
}

/** Formats a settings error, one line per problem. */
export function formatSettingsError(error: SettingsError): string {
  switch (error.kind) {
    case 'unreadable':
      return `${error.file}: cannot be read (${error.reason})`;
    case 'syntax':
      return `${error.file}: not valid TOML: ${error.reason}`;
    case 'invalid':
      return error.problems
        .map(
          problem =>
            `${error.file}: ${problem.key}: found ${problem.found}; allowed: ${problem.allowed}`,
        )
        .join('\n');
  }
}
