/** The simulated state machine: counts commands and hashes their sequence. */

export interface MachineState {
  count: number;
  hash: number;
}

const HASH_FACTOR = 31;
const HASH_MODULUS = 2_147_483_647;

export function createMachine(): MachineState {
  return {count: 0, hash: 7};
}

/** Applies a command and returns its position in the order, from 1. */
export function applyCommand(machine: MachineState, command: string): number {
  for (let charIndex = 0; charIndex < command.length; charIndex += 1) {
    machine.hash =
      (machine.hash * HASH_FACTOR + command.charCodeAt(charIndex)) %
      HASH_MODULUS;
  }
  machine.count += 1;
  return machine.count;
}

export function takeSnapshot(machine: MachineState): Uint8Array {
  return Buffer.from(JSON.stringify(machine));
}

export function restoreMachine(data: Uint8Array): MachineState {
  return JSON.parse(Buffer.from(data).toString('utf8')) as MachineState;
}
