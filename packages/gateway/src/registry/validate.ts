/**
 * Refuses announcements that no target can mean. They come from other writers,
 * and would be preferred as empty targets or shut out the true ones.
 */
import {isIP} from 'node:net';
import type {TargetAnnouncement} from './types.js';

const MAX_PORT = 65_535;
const MAX_SLOTS = 100_000;
const MAX_COLD_MS = 86_400_000;
const MAX_SEQUENCE = 1e12;
/** How far the clock of a target may be ahead of this instance's. */
const MAX_CLOCK_AHEAD_MS = 3_600_000;

/** Names the first field out of range; undefined if there is none. */
export function findFault(
  announcement: TargetAnnouncement,
  wallMs: number,
): string | undefined {
  const {host, port, slots, coldLeftMs, bornMs, sequence} = announcement;
  const isWithin = (value: number, min: number, max: number) =>
    value >= min && value <= max;
  if (isIP(host) === 0) return 'host';
  if (!isWithin(port, 1, MAX_PORT)) return 'port';
  if (!isWithin(slots, 1, MAX_SLOTS)) return 'slots';
  if (!isWithin(coldLeftMs, 0, MAX_COLD_MS)) return 'coldLeftMs';
  if (!isWithin(bornMs, 0, wallMs + MAX_CLOCK_AHEAD_MS)) return 'bornMs';
  if (!isWithin(sequence, 0, MAX_SEQUENCE)) return 'sequence';
  return undefined;
}
