/** Tests of the operators' command line: files, exit codes, unreachable entries. */
import {expect} from 'earl';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, test} from 'node:test';
import {fileURLToPath} from 'node:url';

const bin = fileURLToPath(new URL('./bin.js', import.meta.url));
const folder = mkdtempSync(join(tmpdir(), 'samphirefield-cli-'));

after(() => rmSync(folder, {recursive: true}));

function run(...args: string[]) {
  const env = {PATH: process.env['PATH'] ?? ''};
  const {status, stdout, stderr} = spawnSync(process.execPath, [bin, ...args], {
    encoding: 'utf8',
    env,
  });
  return {status, stdout, stderr};
}

function file(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

test('check accepts a valid file and shows every error of an invalid one', () => {
  const valid = run('check', file('right.txt', 'zone a # Aisyah: first\n'));
  expect(valid.status).toEqual(0);
  const invalid = file('wrong.txt', 'zone a\nzoen b # Aisyah: typo\n');
  const result = run('check', invalid);
  expect(result.status).toEqual(2);
  expect(
    result.stderr.startsWith(`${invalid}:1:7: a rule ends with a comment`),
  ).toEqual(true);
  expect(result.stderr.includes(`${invalid}:2:1: unknown rule 'zoen'`)).toEqual(
    true,
  );
  expect(
    result.stderr.split('\n').filter(line => line.trim() === '^').length,
  ).toEqual(2);
});

test('check prints JSON with --json', () => {
  const result = run('--json', 'check', file('json.txt', 'zone a\n'));
  expect(
    (JSON.parse(result.stdout) as {errors: unknown[]}).errors.length,
  ).toEqual(1);
});

test('settings check reports the file, the key, the value found and what is allowed', () => {
  const result = run(
    'settings',
    'check',
    file('settings.toml', 'instance = 3\n'),
  );
  expect(result.status).toEqual(2);
  expect(result.stderr).toMatchRegex(
    /settings\.toml: instance: found 3; allowed:/,
  );
});

test('a missing file, entry or key and invalid arguments are bad input', () => {
  expect(run('check', join(folder, 'none')).status).toEqual(2);
  expect(run('status').stderr).toMatchRegex(/--entry/);
  expect(run('--entry', 'http://127.0.0.1:1', 'status').stderr).toMatchRegex(
    /--key/,
  );
  expect(run('no-such-command').status).toEqual(2);
  expect(run('--base-revision', 'x', 'status').status).toEqual(2);
});

test('an unreachable entry leads to exit code 4', () => {
  const result = run('--entry', 'http://127.0.0.1:1', '--key', 'k', 'status');
  expect(result.status).toEqual(4);
  expect(result.stderr).toMatchRegex(/no entry responded/);
});

test('--help shows examples and exits with code 0', () => {
  const result = run('--help');
  expect(result.status).toEqual(0);
  expect(result.stdout).toMatchRegex(/Examples:/);
});

test('key hash prints the SHA-256 that a workspace rule holds', () => {
  expect(run('key', 'hash', 'abc').stdout.trim()).toEqual(
    'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad',
  );
});

test('a trace generated from a seed is replayed and meets its outcomes', () => {
  const made = run(
    'trace',
    'tembusu',
    '--seed',
    '2',
    '--rate',
    '2',
    '--seconds',
    '20',
    '--zone-out',
  );
  const trace = file('trace.jsonl', made.stdout);
  const replayed = run('--json', 'replay', trace);
  expect(replayed.status).toEqual(0);
  const {checks} = JSON.parse(replayed.stdout) as {
    checks: Array<{isMet: boolean}>;
  };
  expect(checks.map(check => check.isMet)).toEqual([true, true]);
  expect(run('replay', trace, '--policy', 'none').status).toEqual(2);
  expect(run('replay', file('bad.jsonl', '{}\n')).status).toEqual(2);
});
