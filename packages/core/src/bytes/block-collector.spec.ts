/** Collecting a body in blocks that are reused. */
import {expect} from 'earl';
import {randomBytes} from 'node:crypto';
import {test} from 'node:test';
import {BLOCK_BYTES, BlockCollector, BlockPool} from './block-collector.js';

test('returns what was added, whatever the size of the pieces', () => {
  const data = randomBytes(3 * BLOCK_BYTES + 5);
  for (const size of [1_000, BLOCK_BYTES, 2 * BLOCK_BYTES + 1]) {
    const collector = new BlockCollector(new BlockPool());
    for (let at = 0; at < data.length; at += size)
      collector.push(data.subarray(at, at + size));
    expect(collector.length).toEqual(data.length);
    expect(collector.take().equals(data)).toEqual(true);
    expect(collector.length).toEqual(0);
  }
});

test('blocks in use are not given to another body', () => {
  const pool = new BlockPool();
  const first = new BlockCollector(pool);
  first.push(Buffer.alloc(BLOCK_BYTES + 1, 'a'));
  const {parts, release} = first.takeBlocks();
  const second = new BlockCollector(pool);
  second.push(Buffer.alloc(2 * BLOCK_BYTES, 'b'));
  const text = Buffer.concat(parts).toString();
  expect(text).toEqual('a'.repeat(BLOCK_BYTES + 1));
  release();
  expect(pool.freeBytes).toEqual(2 * BLOCK_BYTES);
});

test('the blocks to reserve are those that a push takes', () => {
  const collector = new BlockCollector(new BlockPool());
  expect(collector.blocksFor(1)).toEqual(1);
  collector.push(Buffer.alloc(BLOCK_BYTES - 1));
  expect(collector.blocksFor(1)).toEqual(0);
  expect(collector.blocksFor(2)).toEqual(1);
});
