/**
 * The requests that a target refused or failed on one connection. It may write
 * such a response once more at any time. The copy names its request, so it looks
 * like the response to a second sending on the same connection.
 */

/** All ids together; bounds the memory that callers can occupy. */
const MAX_ID_CHARS = 4_096;

/** Stands for the requests without an id, which cannot be told apart. */
const NO_ID = '';

export class UnservedRequests {
  private readonly ids = new Set<string>();
  private charCount = 0;

  get isFull(): boolean {
    return this.charCount > MAX_ID_CHARS;
  }

  add(attemptId: string = NO_ID): void {
    if (this.ids.has(attemptId)) return;
    this.ids.add(attemptId);
    this.charCount += attemptId.length;
  }

  has(attemptId: string = NO_ID): boolean {
    return this.ids.has(attemptId);
  }
}
