/** Deltas between documents, and the updates that carry them. */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {applyDelta, diffDocuments} from './document-delta.js';
import {DocumentHistory} from './document-history.js';
import {NO_VERSION, readUpdate} from './document-update.js';

const item = fc.record({name: fc.nat(6), weight: fc.nat(3)});
const document = fc.oneof(
  fc.json().map(text => JSON.parse(text) as unknown),
  fc.dictionary(fc.constantFrom('a', 'b', '__proto__'), fc.array(item)),
);
/** As another daemon reads it. */
const plain = (value: unknown) => JSON.parse(JSON.stringify(value)) as unknown;
const routes = (count: number) =>
  Array.from({length: count}, (_, i) => ({name: `r${i}`, weight: i}));

test('a delta leads to another document than it was made for', () => {
  fc.assert(
    fc.property(document, document, (before, after) => {
      const sent = JSON.stringify(diffDocuments(before, after));
      const delta = JSON.parse(sent) as ReturnType<typeof diffDocuments>;
      const result = applyDelta(before, delta)._unsafeUnwrap();
      expect(plain(result)).toEqual(plain(after));
    }),
  );
});

test('an item that did not change is another object afterwards', () => {
  const before = {list: routes(3)};
  const after = {list: [{name: 'new'}, ...routes(3).reverse()]};
  const delta = diffDocuments(before, after);
  const result = applyDelta(before, delta)._unsafeUnwrap() as typeof before;
  expect(
    result.list.slice(1).every(found => before.list.includes(found)),
  ).toEqual(true);
});

test('a delta of another document is applied', () => {
  const delta = diffDocuments({list: routes(3)}, {list: routes(2)});
  expect(applyDelta({list: routes(1)}, delta).isErr()).toEqual(true);
  expect(applyDelta(7, delta).isErr()).toEqual(true);
});

test('an update from a version that the daemon has seen is not small', async () => {
  const history = new DocumentHistory();
  const texts = [0, 1, 2, 3].map(version =>
    JSON.stringify({version, list: [...routes(2_000), {name: `n${version}`}]}),
  );
  for (const version of [1, 2, 3]) history.record(version, texts[version]!);
  const update = (await history.updateFrom(1, 3, texts[3]!))!;
  expect(JSON.stringify(update).length < 1_000).toEqual(true);
  const known = {version: 1, value: JSON.parse(texts[1]!) as unknown};
  const read = await readUpdate(update, () => known);
  expect(read._unsafeUnwrap()).toEqual(JSON.parse(texts[3]!) as unknown);
  const other = await readUpdate(update, () => ({...known, version: 2}));
  expect(other.isErr() && other.error).toEqual('other_base');
});

test('a version that the daemon has not seen gets no whole document', async () => {
  const history = new DocumentHistory();
  const text = JSON.stringify({version: 9, list: routes(2_000)});
  history.record(9, text);
  const update = (await history.updateFrom(4, 9, text))!;
  expect(update.baseVersion).toEqual(NO_VERSION);
  expect(update.deflated!.length < text.length / 4).toEqual(true);
  const read = await readUpdate(update, () => undefined);
  expect(read._unsafeUnwrap()).toEqual(JSON.parse(text) as unknown);
  expect(history.updateFrom(4, 10, text)).toEqual(undefined);
});

test('a damaged update is applied', async () => {
  const damaged = {baseVersion: NO_VERSION, deflated: 'AAAA'};
  expect((await readUpdate(damaged, () => undefined)).isErr()).toEqual(true);
});
