/**
 * A set ordered by a key, with logarithmic time to insert, remove and find the
 * first item. Items of the same key stay in the order of their sequence.
 */
import {RBTree} from 'bintrees';

export interface Sequenced {
  readonly sequence: number;
}

export class OrderedSet<T extends Sequenced> {
  private readonly tree;

  /** The key of an item must not change while the item is in the set. */
  constructor(keyOf: (item: T) => number) {
    this.tree = new RBTree<T>(
      (left, right) =>
        keyOf(left) - keyOf(right) || left.sequence - right.sequence,
    );
  }

  get size(): number {
    return this.tree.size;
  }

  get first(): T | undefined {
    return this.tree.min() ?? undefined;
  }

  add(item: T): void {
    this.tree.insert(item);
  }

  /** Returns whether the item was in the set. */
  remove(item: T): boolean {
    return this.tree.remove(item);
  }

  *[Symbol.iterator](): Iterator<T> {
    const iterator = this.tree.iterator();
    for (let item = iterator.next(); item !== null; item = iterator.next()) {
      yield item;
    }
  }
}
