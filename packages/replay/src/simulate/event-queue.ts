/** A priority queue of events in virtual time, as a binary heap. */

interface TimedEvent {
  readonly atMs: number;
  /** Breaks ties: events of the same time run in the order of scheduling. */
  readonly sequence: number;
  readonly run: () => void;
}

function runsBefore(left: TimedEvent, right: TimedEvent): boolean {
  if (left.atMs !== right.atMs) return left.atMs < right.atMs;
  return left.sequence < right.sequence;
}

export class EventQueue {
  nowMs = 0;
  private readonly heap: TimedEvent[] = [];
  private nextSequence = 0;

  schedule(atMs: number, run: () => void): void {
    const {heap} = this;
    heap.push({atMs, sequence: this.nextSequence, run});
    this.nextSequence += 1;
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!runsBefore(heap[index]!, heap[parent]!)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  /** Runs the next event; returns false if none is due by `untilMs`. */
  step(untilMs: number): boolean {
    const first = this.heap[0];
    if (first === undefined || first.atMs > untilMs) return false;
    const last = this.heap.pop()!;
    if (this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown();
    }
    this.nowMs = first.atMs;
    first.run();
    return true;
  }

  private siftDown(): void {
    const {heap} = this;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= heap.length) return;
      const right = left + 1;
      const isRightFirst =
        right < heap.length && runsBefore(heap[right]!, heap[left]!);
      const child = isRightFirst ? right : left;
      if (!runsBefore(heap[child]!, heap[index]!)) return;
      this.swap(index, child);
      index = child;
    }
  }

  private swap(left: number, right: number): void {
    const {heap} = this;
    const saved = heap[left]!;
    heap[left] = heap[right]!;
    heap[right] = saved;
  }
}
