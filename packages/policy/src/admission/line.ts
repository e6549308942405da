/**
 * The waiting requests of one priority. Requests of each size class have an
 * order of their own, so that a small one may use room into which the large one
 * at the head does not fit.
 */
import {OrderedSet} from './ordered-set.js';
import type {AdmissionRequest, Waiting} from './types.js';

/** Requests whose KV cache differs by less than this factor share a class. */
const SIZE_CLASS_FACTOR = 1.5;

export function sizeClassOf({kvTokens}: AdmissionRequest): number {
  const steps = Math.log(Math.max(1, kvTokens)) / Math.log(SIZE_CLASS_FACTOR);
  return Math.floor(steps);
}

export class Line<R extends AdmissionRequest> {
  private readonly bySize = new Map<number, OrderedSet<Waiting<R>>>();
  size = 0;
  kvTokens = 0;

  add(item: Waiting<R>): void {
    const sizeClass = sizeClassOf(item.request);
    let items = this.bySize.get(sizeClass);
    if (items === undefined) {
      items = new OrderedSet(({orderKey}) => orderKey);
      this.bySize.set(sizeClass, items);
    }
    items.add(item);
    this.size += 1;
    this.kvTokens += item.request.kvTokens;
  }

  remove(item: Waiting<R>): void {
    const sizeClass = sizeClassOf(item.request);
    const items = this.bySize.get(sizeClass);
    if (!items?.remove(item)) return;
    if (items.size === 0) this.bySize.delete(sizeClass);
    this.size -= 1;
    this.kvTokens = this.size === 0 ? 0 : this.kvTokens - item.request.kvTokens;
  }

  /** The first request of each size class, in order. */
  heads(): Array<Waiting<R>> {
    return [...this.bySize.values()]
      .map(items => items.first!)
      .sort((a, b) => a.orderKey - b.orderKey || a.sequence - b.sequence);
  }
}
