/** Reads the limits of the machine that the process itself can see. */
import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import type {MachineLimits} from '../account/index.js';

/** Share of the memory that is used where nothing limits the process. */
const MEMORY_SHARE = 1 / 2;
/** Usual soft limit, where the system states none. */
const DEFAULT_DESCRIPTORS = 1_024;

function readMaxDescriptors(): number {
  try {
    const text = readFileSync('/proc/self/limits', 'utf8');
    const match = /^Max open files\s+(\d+)/m.exec(text);
    return match ? Number(match[1]) : DEFAULT_DESCRIPTORS;
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}

export function readMachineLimits(): MachineLimits {
  // Zero without a limit, or a value beyond the machine's memory.
  const constrained = process.constrainedMemory() || Infinity;
  return {
    memoryBytes: Math.min(constrained, totalmem() * MEMORY_SHARE),
    maxDescriptors: readMaxDescriptors(),
  };
}
