/**
 * Recognizes requests that return after a refusal. The protocol doesn't mark
 * them, but the same request asks for the same work again: its workspace,
 * priority, prompt and expected output. Two requests that agree in all of these
 * are rare, and taking one for the other moves it within the order only.
 */
import type {AdmissionRequest} from './types.js';

/**
 * How long a refusal is remembered. Callers return before their deadline, which
 * is not longer than this in the load that admission control is designed for.
 */
const REMEMBERED_MS = 60_000;
/** Bounds the memory that refusals take. */
const MAX_REMEMBERED = 20_000;

function signatureOf(request: AdmissionRequest): string {
  const {workspace, priority, prefillTokens, kvTokens} = request;
  return `${workspace ?? ''}/${priority}/${prefillTokens}/${kvTokens}`;
}

export class Returns {
  /** When refused requests arrived first; the oldest refusal comes first. */
  private readonly firstAskedAtMs = new Map<string, number>();

  recordRefusal(request: AdmissionRequest, firstAskedAtMs: number): void {
    const signature = signatureOf(request);
    this.firstAskedAtMs.delete(signature);
    this.firstAskedAtMs.set(signature, firstAskedAtMs);
    for (const [oldest] of this.firstAskedAtMs) {
      if (this.firstAskedAtMs.size <= MAX_REMEMBERED) return;
      this.firstAskedAtMs.delete(oldest);
    }
  }

  /**
   * When the request arrived first: `nowMs`, or earlier if it returns after a
   * refusal, which is then forgotten.
   */
  takeFirstAsked(request: AdmissionRequest, nowMs: number): number {
    const signature = signatureOf(request);
    const askedAtMs = this.firstAskedAtMs.get(signature);
    this.firstAskedAtMs.delete(signature);
    if (askedAtMs === undefined) return nowMs;
    return nowMs - askedAtMs > REMEMBERED_MS ? nowMs : askedAtMs;
  }
}
