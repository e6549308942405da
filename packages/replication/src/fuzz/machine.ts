/** The state machine of a schedule: counts commands and hashes their order. */

export interface MachineState {
  count: number;
  hash: number;
}

const HASH_FACTOR = 31;
const HASH_MODULUS = 2_147_483_647;

export function createMachine(): MachineState {
  return {count: 0, hash: 7};
}

/** Applies a command and returns its place in the order, from 1. */
export function applyTo(machine: MachineState, command: string): number {
  for (let position = 0; position < command.length; position += 1) {
    machine.hash =
      (machine.hash * HASH_FACTOR + command.charCodeAt(position)) %
      HASH_MODULUS;
  }
  machine.count += 1;
  return machine.count;
}

export function snapshotOf(machine: MachineState): Uint8Array {
  return Buffer.from(JSON.stringify(machine));
}

export function restoreFrom(data: Uint8Array): MachineState {
  return JSON.parse(Buffer.from(data).toString('utf8')) as MachineState;
}
