/** A queue of events in virtual time. */

interface TimedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

function goesFirst(left: TimedEvent, right: TimedEvent): boolean {
  if (left.atMs !== right.atMs) return left.atMs < right.atMs;
  return left.order < right.order;
}

export class EventQueue {
  nowMs = 0;
  private readonly heap: TimedEvent[] = [];
  private nextOrder = 0;

  schedule(atMs: number, run: () => void): void {
    const {heap} = this;
    heap.push({atMs, order: this.nextOrder, run});
    this.nextOrder += 1;
    let at = heap.length - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!goesFirst(heap[at]!, heap[parent]!)) return;
      this.swap(at, parent);
      at = parent;
    }
  }

  /** Runs the next event; false when there is none before `untilMs`. */
  step(untilMs: number): boolean {
    const first = this.heap[0];
    if (first === undefined || first.atMs > untilMs) return false;
    const last = this.heap.pop()!;
    if (this.heap.length > 0) {
      this.heap[0] = last;
      this.sink();
    }
    this.nowMs = first.atMs;
    first.run();
    return true;
  }

  private sink(): void {
    const {heap} = this;
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      if (left >= heap.length) return;
      const right = left + 1;
      const isRight =
        right < heap.length && goesFirst(heap[right]!, heap[left]!);
      const child = isRight ? right : left;
      if (!goesFirst(heap[child]!, heap[at]!)) return;
      this.swap(at, child);
      at = child;
    }
  }

  private swap(left: number, right: number): void {
    const {heap} = this;
    const kept = heap[left]!;
    heap[left] = heap[right]!;
    heap[right] = kept;
  }
}
