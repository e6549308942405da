/** Turns for moves off one target. */
import {expect} from 'earl';
import {test} from 'node:test';
import {requestId, targetId} from '@samphirefield/core';
import {MoveTurns} from './turns.js';

const SOURCE = targetId('t1');

function setUp() {
  let nowMs = 0;
  const turns = new MoveTurns(() => nowMs);
  const started: string[] = [];
  return {
    turns,
    started,
    ask: (name: string, worth: number) =>
      turns.ask(SOURCE, requestId(name), worth, () => started.push(name)),
    end: (name: string) => turns.end(SOURCE, requestId(name)),
    passMs: (ms: number) => {
      nowMs += ms;
      turns.tick();
    },
  };
}

test('gives one turn at a time, to what is worth most first', () => {
  const {started, ask, end} = setUp();
  ask('a', 1);
  ask('b', 2);
  ask('c', 3);
  expect(started).toEqual(['a']);
  end('a');
  expect(started).toEqual(['a', 'c']);
  end('c');
  end('b');
  expect(started).toEqual(['a', 'c', 'b']);
});

test('takes the turn from a holder that fell silent', () => {
  const {started, ask, passMs} = setUp();
  ask('a', 1);
  ask('b', 1);
  passMs(1_300);
  expect(started).toEqual(['a', 'b']);
});
