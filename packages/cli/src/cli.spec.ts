/** The operators' command line: files, exit codes, and a deployment that is not there. */
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

test('check accepts a right file and shows every error of a wrong one', () => {
  const right = run('check', file('right.txt', 'zone a # Aisyah: first\n'));
  expect(right.status).toEqual(0);
  const wrong = file('wrong.txt', 'zone a\nzoen b # Aisyah: typo\n');
  const result = run('check', wrong);
  expect(result.status).toEqual(2);
  expect(
    result.stderr.startsWith(`${wrong}:1:7: a rule ends with a comment`),
  ).toEqual(true);
  expect(result.stderr.includes(`${wrong}:2:1: unknown rule 'zoen'`)).toEqual(
    true,
  );
  expect(
    result.stderr.split('\n').filter(line => line.trim() === '^').length,
  ).toEqual(2);
});

test('check prints JSON on request', () => {
  const result = run('--json', 'check', file('json.txt', 'zone a\n'));
  expect(
    (JSON.parse(result.stdout) as {errors: unknown[]}).errors.length,
  ).toEqual(1);
});

test('settings check names file, key, found and allowed', () => {
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

test('a missing file, entry or key is bad input', () => {
  expect(run('check', join(folder, 'none')).status).toEqual(2);
  expect(run('status').stderr).toMatchRegex(/--entry/);
  expect(run('--entry', 'http://127.0.0.1:1', 'status').stderr).toMatchRegex(
    /--key/,
  );
  expect(run('no-such-command').status).toEqual(2);
  expect(run('--base-revision', 'x', 'status').status).toEqual(2);
});

test('an entry that is not there is exit code 4', () => {
  const result = run('--entry', 'http://127.0.0.1:1', '--key', 'k', 'status');
  expect(result.status).toEqual(4);
  expect(result.stderr).toMatchRegex(/no entry had an answer/);
});

test('help shows examples and ends well', () => {
  const result = run('--help');
  expect(result.status).toEqual(0);
  expect(result.stdout).toMatchRegex(/Examples:/);
});

test('a key is hashed as workspaces need it', () => {
  expect(run('key', 'hash', 'abc').stdout.trim()).toEqual(
    'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad',
  );
});

test('a trace is made from a seed and replayed against its outcomes', () => {
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
