/**
 * Collects bytes that arrive in pieces in one growing block. A list of the
 * pieces would cost an object each, however small they are: a sender of single
 * bytes could make a few megabytes fill the heap.
 */
const MIN_CAPACITY_BYTES = 1_024;

export class ByteCollector {
  private block: Buffer = Buffer.alloc(0);
  private used = 0;

  /** Number of bytes collected since the last {@link take}. */
  get length(): number {
    return this.used;
  }

  /** Adds a copy of the bytes. */
  push(bytes: Uint8Array): void {
    this.reserve(this.used + bytes.length);
    this.block.set(bytes, this.used);
    this.used += bytes.length;
  }

  /** Returns the bytes collected, and starts anew. */
  take(): Buffer {
    const taken = this.block.subarray(0, this.used);
    this.block = Buffer.alloc(0);
    this.used = 0;
    return taken;
  }

  private reserve(capacityBytes: number): void {
    if (capacityBytes <= this.block.length) return;
    const doubled = Math.max(MIN_CAPACITY_BYTES, this.block.length * 2);
    const grown = Buffer.allocUnsafeSlow(Math.max(doubled, capacityBytes));
    this.block.copy(grown, 0, 0, this.used);
    this.block = grown;
  }
}
