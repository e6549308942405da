import {expect} from 'earl';
import {test} from 'node:test';
import {ByteCollector} from './byte-collector.js';

test('returns the bytes of all pieces in order, and starts anew', () => {
  const collector = new ByteCollector();
  const pieces = ['', 'a', 'bc'.repeat(2_000), 'd', 'e'.repeat(70_000)];
  for (const piece of pieces) collector.push(Buffer.from(piece));
  expect(collector.length).toEqual(74_002);
  expect(collector.take().toString()).toEqual(pieces.join(''));
  collector.push(Buffer.from('next'));
  expect(collector.take().toString()).toEqual('next');
  expect(collector.take().length).toEqual(0);
});

test('keeps a copy, since the memory of a piece may be used again', () => {
  const collector = new ByteCollector();
  const piece = Buffer.from('abc');
  collector.push(piece);
  piece.fill('x');
  expect(collector.take().toString()).toEqual('abc');
});
