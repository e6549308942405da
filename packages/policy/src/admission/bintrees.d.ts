/** The part of `bintrees` that is used here; the package has no types. */
declare module 'bintrees' {
  interface TreeIterator<T> {
    next(): T | null;
  }
  export class RBTree<T> {
    constructor(compare: (left: T, right: T) => number);
    readonly size: number;
    insert(item: T): boolean;
    remove(item: T): boolean;
    min(): T | null;
    iterator(): TreeIterator<T>;
  }
}
