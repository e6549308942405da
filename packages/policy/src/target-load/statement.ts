/** Reads what a target states of its load. */
import type {LoadFields, LoadStatement} from './types.js';

const FIELDS = 3;
const FIELDS_WITH_PACE = 4;
/** No target of the design size has more requests, or slots. */
const MAX_REQUESTS = 1_000_000;
/**
 * A stated pace outside of this range, ten times as fast to 100 times as slow as
 * usual, is taken for a mistake.
 */
const MIN_PACE_PCT = 10;
const MAX_PACE_PCT = 10_000;

function isCount(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= MAX_REQUESTS;
}

function isPace(value: number): boolean {
  return (
    Number.isInteger(value) && value >= MIN_PACE_PCT && value <= MAX_PACE_PCT
  );
}

/**
 * `none` if the head states no load; `invalid` if it states one that is malformed
 * or out of range, or more than one.
 */
export function readLoad(
  values: readonly LoadFields[],
): LoadStatement | 'none' | 'invalid' {
  const [fields] = values;
  if (fields === undefined) return 'none';
  if (values.length > 1) return 'invalid';
  const [running, waiting, slots, pacePct] = fields;
  const hasPace = fields.length === FIELDS_WITH_PACE;
  if (fields.length !== FIELDS && !hasPace) return 'invalid';
  const areCounts = [running!, waiting!, slots!].every(isCount);
  if (!areCounts || slots === 0) return 'invalid';
  if (hasPace && !isPace(pacePct!)) return 'invalid';
  return {running: running!, waiting: waiting!, slots: slots!, pacePct};
}
