/** Events once, in order, and whole, however they are cut into pieces. */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {EventRelay} from './event-relay.js';

const event = (id: number) => `id: ${id}\ndata: token ${id}\n\n`;
const events = (from: number, to: number) =>
  Array.from({length: to - from + 1}, (_, i) => event(from + i)).join('');

function setUp() {
  let text = '';
  const relay = new EventRelay({write: data => (text += data.toString())});
  const take = (piece: string) => relay.push(Buffer.from(piece));
  return {relay, take, text: () => text};
}

test('passes whole events on at once', () => {
  const {take, text} = setUp();
  take(event(1) + 'id: 2\nda');
  expect(text()).toEqual(event(1));
  take('ta: token 2\n\n');
  expect(text()).toEqual(events(1, 2));
});

test('goes on at another source without repeats or halves', () => {
  const {relay, take, text} = setUp();
  take(events(1, 3) + 'id: 4\ndata: tok');
  relay.startNextSource();
  take(events(3, 6));
  expect(text()).toEqual(events(1, 6));
});

test('stops at a gap', () => {
  const {relay, take, text} = setUp();
  take(events(1, 3));
  relay.startNextSource();
  expect(take(events(5, 6))).toEqual('gap');
  expect(text()).toEqual(events(1, 3));
});

test('stops at an event that one source sends twice', () => {
  const {take, text} = setUp();
  expect(take(events(1, 3) + event(3))).toEqual('gap');
  expect(text()).toEqual(events(1, 3));
});

test('gives the same text for every cut and every place of a move', () => {
  const cuts = fc.array(fc.integer({min: 1, max: 200}), {maxLength: 8});
  const moveAt = fc.integer({min: 0, max: 150});
  const repeats = fc.integer({min: 0, max: 3});
  fc.assert(
    fc.property(cuts, moveAt, repeats, (positions, at, repeated) => {
      const {relay, take, text} = setUp();
      const whole = events(1, 10);
      take(whole.slice(0, at));
      const next = (relay.lastEventId ?? 0) + 1;
      relay.startNextSource();
      const rest = events(Math.max(1, next - repeated), 10);
      const sorted = [0, ...positions, rest.length].sort((a, b) => a - b);
      for (let i = 0; i + 1 < sorted.length; i += 1) {
        const piece = rest.slice(sorted[i], sorted[i + 1]);
        expect(take(piece)).toEqual(undefined);
      }
      take(rest.slice(sorted.at(-1)));
      expect(text()).toEqual(whole);
    }),
  );
});
