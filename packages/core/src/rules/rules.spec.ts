/** Tests of the rules file: grammar, error positions and lookups. */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {serviceId, workspaceId} from '../ids/index.js';
import {RULE_SPECS} from './grammar.js';
import {
  formatRuleError,
  isNonRepeatable,
  parseRules,
  plainServiceFor,
  priorityOf,
} from './index.js';

const KEY = 'a'.repeat(64);
const SERVICE = 'service desk kind=plain path=/orders # Aisyah: orders';

function errorsOf(text: string) {
  return parseRules(text)._unsafeUnwrapErr();
}

test('every example of the grammar page parses', () => {
  const setup = [
    'service order-desk kind=plain path=/orders # A: b',
    'service schrijver kind=engine path=/v1 # A: b',
    'service advice-models kind=engine path=/v1 # A: b',
    `workspace broker-west key-sha256=${KEY} # A: b`,
  ];
  const kindsInSetup = ['service', 'workspace'];
  const examples = Object.entries(RULE_SPECS)
    .filter(([kind]) => !kindsInSetup.includes(kind))
    .map(([, spec]) => spec.example);
  expect(parseRules([...setup, ...examples].join('\n')).isOk()).toEqual(true);
  for (const kind of kindsInSetup) {
    expect(parseRules(RULE_SPECS[kind]!.example).isOk()).toEqual(true);
  }
});

test('a rule without its comment is rejected at the end of the line', () => {
  const [error] = errorsOf('zone zone-a');
  expect(error?.column).toEqual(12);
  expect(error?.message).toMatchRegex(/who asked for it/);
});

test('a comment without a name is rejected', () => {
  expect(errorsOf('zone zone-a # because').length).toEqual(1);
});

test('all errors are reported at once with line and column', () => {
  const text = [
    SERVICE,
    'service b kind=odd path=/b # A: b',
    'wrong x # A: b',
    'once service=nowhere path=/x # A: b',
  ].join('\n');
  const positions = errorsOf(text).map(error => [error.line, error.column]);
  expect(positions).toEqual([
    [2, 16],
    [3, 1],
    [4, 1],
  ]);
});

test('an error is shown with a caret under its column', () => {
  const [error] = errorsOf('zone # A: b');
  expect(formatRuleError('f', error!)).toEqual(
    "f:1:5: 'zone' needs a name\n  zone # A: b\n      ^",
  );
});

test('a duplicate key and an unknown key are rejected', () => {
  const messages = errorsOf(
    'service d kind=plain kind=plain path=/d size=3 # A: b',
  ).map(error => error.message);
  expect(messages.length).toEqual(2);
});

test('property names of Object.prototype are rejected as unknown words', () => {
  expect(errorsOf('constructor x # A: b').length).toEqual(1);
  expect(errorsOf('zone a toString=1 # A: b').length).toEqual(1);
});

test('two workspaces with the same API key are rejected', () => {
  const text = `workspace a key-sha256=${KEY} # A: b\nworkspace b key-sha256=${KEY} # A: b`;
  expect(errorsOf(text)[0]?.line).toEqual(2);
});

test('at most one voters rule, with an allowed count, sizes the control group', () => {
  const rule = 'voters count=5 # A: b';
  expect(parseRules(rule)._unsafeUnwrap().voters?.count).toEqual(5);
  expect(errorsOf(`${rule}\n${rule}`)[0]?.line).toEqual(2);
  expect(errorsOf('voters count=4 # A: b').length).toEqual(1);
});

test('the path of a once rule must lie under the path of its service', () => {
  const text = `${SERVICE}\nonce service=desk path=/other # A: b`;
  expect(errorsOf(text)[0]?.message).toMatchRegex(/not under/);
});

test('the longest matching path prefix wins, and only whole segments match', () => {
  const text = `${SERVICE}\nservice deep kind=plain path=/orders/deep # A: b`;
  const rules = parseRules(text)._unsafeUnwrap();
  const find = (path: string) => plainServiceFor(rules, path)?.service;
  expect(find('/orders/deep/1')).toEqual(serviceId('deep'));
  expect(find('/orders/1')).toEqual(serviceId('desk'));
  expect(find('/orders1')).toEqual(undefined);
});

test('a once rule covers its method and all paths under its path', () => {
  const rules = parseRules(
    `${SERVICE}\nonce service=desk method=POST path=/orders # A: b`,
  )._unsafeUnwrap();
  const desk = serviceId('desk');
  expect(isNonRepeatable(rules, desk, 'POST', '/orders/7')).toEqual(true);
  expect(isNonRepeatable(rules, desk, 'GET', '/orders/7')).toEqual(false);
});

test('the most specific priority rule wins', () => {
  const text = [
    SERVICE,
    `workspace w key-sha256=${KEY} # A: b`,
    'priority workspace=w service=desk level=0 # A: b',
    'priority workspace=w level=3 # A: b',
    'priority service=desk level=7 # A: b',
  ].join('\n');
  const rules = parseRules(text)._unsafeUnwrap();
  const of = (workspace: string) =>
    priorityOf(rules, workspaceId(workspace), serviceId('desk'));
  expect(of('w')).toEqual(0);
  expect(of('other')).toEqual(7);
});

test('the parser never throws, whatever the text', () => {
  const word = fc.constantFrom(
    ...Object.keys(RULE_SPECS),
    'kind=engine',
    'path=/v1',
    '# A: b',
    'service=x',
    '=',
    '\t',
    '\u0000',
  );
  const line = fc.array(fc.oneof(word, fc.string()), {maxLength: 8});
  const text = fc
    .array(line, {maxLength: 6})
    .map(lines => lines.map(words => words.join(' ')).join('\n'));
  fc.assert(
    fc.property(text, input => {
      parseRules(input);
    }),
    {seed: 1, numRuns: 500},
  );
});
