/**
 * Collects a body in blocks of a fixed size that are reused. A buffer that
 * grows leaves garbage outside of the heap, which stays until V8 collects it;
 * blocks of bodies that are refused or cut off are free at once.
 */

export const BLOCK_BYTES = 16_384;

/** Blocks that are free for the next bodies. */
export class BlockPool {
  private readonly free: Buffer[] = [];

  get freeBytes(): number {
    return this.free.length * BLOCK_BYTES;
  }

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  give(blocks: readonly Buffer[]): void {
    this.free.push(...blocks);
  }

  /** Drops up to this many free blocks, so that V8 can collect them. */
  trim(blocks: number): void {
    this.free.splice(0, blocks);
  }
}

export class BlockCollector {
  private blocks: Buffer[] = [];
  private used = 0;

  constructor(private readonly pool: BlockPool) {}

  get length(): number {
    return this.used;
  }

  /** How many further blocks are needed to add this number of bytes. */
  blocksFor(bytes: number): number {
    const needed = Math.ceil((this.used + bytes) / BLOCK_BYTES);
    return Math.max(0, needed - this.blocks.length);
  }

  /** Adds a copy of the bytes. */
  push(bytes: Uint8Array): void {
    for (let start = 0; start < bytes.length;) {
      const at = this.used % BLOCK_BYTES;
      if (at === 0) this.blocks.push(this.pool.take());
      const part = bytes.subarray(start, start + BLOCK_BYTES - at);
      this.blocks.at(-1)!.set(part, at);
      this.used += part.length;
      start += part.length;
    }
  }

  /** Returns the bytes collected, and gives the blocks back. */
  take(): Buffer {
    const taken = Buffer.concat(this.blocks, this.used);
    this.clear();
    return taken;
  }

  /**
   * Returns the bytes collected in their blocks, without a copy. Call `release`
   * once when the bytes are not used any more.
   */
  takeBlocks(): {readonly parts: readonly Buffer[]; release(): void} {
    const {blocks, used, pool} = this;
    this.blocks = [];
    this.used = 0;
    const lengthOf = (position: number) =>
      Math.min(BLOCK_BYTES, used - position * BLOCK_BYTES);
    const parts = blocks.map((block, i) => block.subarray(0, lengthOf(i)));
    return {parts, release: () => pool.give(blocks)};
  }

  /** Gives the blocks back. */
  clear(): void {
    this.pool.give(this.blocks);
    this.blocks = [];
    this.used = 0;
  }
}
