/**
 * A rate of tokens over the last 20 slots (5 s by default), in constant time and
 * memory.
 */

const DEFAULT_SLOT_MS = 250;
const SLOTS = 20;
const MS_PER_S = 1_000;

export class TokenRate {
  private readonly slots = new Array<number>(SLOTS).fill(0);
  private current = 0;
  private firstMs: number | undefined;

  constructor(private readonly slotMs = DEFAULT_SLOT_MS) {}

  record(tokens: number, nowMs: number): void {
    this.advance(nowMs);
    this.slots[this.current % SLOTS]! += tokens;
  }

  /** Tokens a second; undefined in the first second after the first call. */
  perS(nowMs: number): number | undefined {
    this.advance(nowMs);
    if (this.firstMs === undefined) return undefined;
    const spanMs = Math.min(nowMs - this.firstMs, this.slotMs * (SLOTS - 1));
    if (spanMs < MS_PER_S) return undefined;
    const sum = this.slots.reduce((total, tokens) => total + tokens, 0);
    return (sum / spanMs) * MS_PER_S;
  }

  private advance(nowMs: number): void {
    const slot = Math.floor(nowMs / this.slotMs);
    if (this.firstMs === undefined) {
      this.firstMs = nowMs;
      this.current = slot;
    }
    const cleared = Math.min(SLOTS, slot - this.current);
    for (let i = 1; i <= cleared; i += 1) {
      this.slots[(slot - cleared + i) % SLOTS] = 0;
    }
    this.current = Math.max(this.current, slot);
  }
}
