/** Splits tables of targets into messages of a bounded size. */
import {serializeNotification} from '../link/index.js';
import type {TargetUpdate} from './messages.js';

/** A message is sent once its targets take this many characters. */
const LINE_CHARACTERS = 16_384;

const [BEFORE_ITEMS, AFTER_ITEMS] = serializeNotification('targets', {
  items: [],
}).split('[]');

const toLine = (serializedItems: readonly string[]): string =>
  `${BEFORE_ITEMS}[${serializedItems.join(',')}]${AFTER_ITEMS}`;

/**
 * Yields the lines of messages that hold all targets, in their order. Each is
 * made when it is asked for, so it holds the targets as they are then.
 */
export function* targetLines(
  items: Iterable<TargetUpdate>,
): Generator<string, void, void> {
  let pending: string[] = [];
  let characters = 0;
  for (const item of items) {
    const text = JSON.stringify(item);
    pending.push(text);
    characters += text.length;
    if (characters < LINE_CHARACTERS) continue;
    yield toLine(pending);
    pending = [];
    characters = 0;
  }
  if (pending.length > 0) yield toLine(pending);
}
