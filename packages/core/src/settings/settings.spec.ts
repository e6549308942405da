/** Tests of the settings file: each invalid key is reported with what is allowed. */
import {expect} from 'earl';
import {existsSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {renderRulesPage} from '../rules/index.js';
import {
  checkDataFolder,
  formatSettingsError,
  parseSettings,
  renderSettingsPage,
} from './index.js';

const GOOD = `
[instance]
id = "entry-1"
zone = "zone-a"
deployment = "tembusu"
[callers]
address = "127.0.0.1"
port = 0
[internal]
address = "127.0.0.1"
port = 0
[cluster]
key = "0123456789abcdef"
voters = [{id = "v1", address = "127.0.0.1", port = 7401}]
[targets]
key = "0123456789abcdef"
[operators]
key = "0123456789abcdef"
`;

function messageOf(text: string): string {
  return formatSettingsError(parseSettings('f', text)._unsafeUnwrapErr());
}

test('a minimal file is completed with every default', () => {
  const settings = parseSettings('f', GOOD)._unsafeUnwrap();
  expect(settings.timing.view_lease_ms).toEqual(3_000);
  expect(settings.voter).toEqual(undefined);
});

test('an unknown key is reported by its name', () => {
  const message = messageOf(`${GOOD}\n[log]\nlevle = "info"\n`);
  expect(message).toEqual(
    'f: log.levle: found an unknown key; allowed: only the keys of docs/SETTINGS.md',
  );
});

test('a host name is rejected as an IP address', () => {
  const message = messageOf(GOOD.replace('"127.0.0.1"', '"localhost"'));
  expect(message).toEqual(
    'f: callers.address: found "localhost"; allowed: an IP address',
  );
});

test('a missing key and an invalid one are reported together', () => {
  const text = GOOD.replace('id = "entry-1"\n', '').replace(
    'port = 0',
    'port = -1',
  );
  expect(messageOf(text).split('\n').length).toEqual(2);
});

test('an error message does not contain the secret', () => {
  const message = messageOf(GOOD.replace('0123456789abcdef', 'short-secret'));
  expect(message.includes('short-secret')).toEqual(false);
  expect(message).toMatchRegex(/a key of 12 characters/);
});

test('timing settings that contradict each other are rejected', () => {
  const message = messageOf(`${GOOD}\n[timing]\nview_lease_ms = 600\n`);
  expect(message).toMatchRegex(/timing.view_lease_ms: found 600/);
});

test('a data folder that cannot be created is rejected, and the check creates none', () => {
  const message = checkDataFolder('f', '/dev/null/data').match(
    () => '',
    formatSettingsError,
  );
  expect(message).toMatchRegex(/voter.data_folder: found \/dev\/null\/data/);
  const folder = join(tmpdir(), 'samphirefield-never-made');
  expect(checkDataFolder('f', folder).isOk()).toEqual(true);
  expect(existsSync(folder)).toEqual(false);
});

test('text that is not valid TOML is rejected with a one-line message', () => {
  expect(messageOf('[instance').split('\n').length).toEqual(1);
});

test('the committed pages match those generated from the schema and the grammar', () => {
  const page = (name: string) =>
    readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8');
  expect(page('SETTINGS.md')).toEqual(renderSettingsPage());
  expect(page('RULES.md')).toEqual(renderRulesPage());
});
