/** What every command that talks to a deployment shares. */
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {OperatorClient, type ClientError} from '../client/index.js';
import {
  createOutput,
  EXIT,
  type ExitCode,
  type Output,
} from '../output/index.js';

export interface GlobalOptions {
  readonly entry?: readonly string[];
  readonly key?: string;
  readonly operator?: string;
  readonly commandId?: string;
  readonly baseRevision?: number;
  readonly json?: boolean;
  readonly wait: boolean;
}

export interface CommandContext {
  readonly client: OperatorClient;
  readonly output: Output;
  readonly operator: string;
  readonly commandId: string;
  readonly baseRevision: number | undefined;
  readonly waitsUntilActive: boolean;
}

export const ENTRY_VARIABLE = 'SAMPHIREFIELD_ENTRIES';
export const KEY_VARIABLE = 'SAMPHIREFIELD_OPERATOR_KEY';

/** Returns what is missing instead, when something is. */
export function createContext(options: GlobalOptions): CommandContext | string {
  const listed = process.env[ENTRY_VARIABLE]?.split(',') ?? [];
  const entries = options.entry ?? listed;
  const key = options.key ?? process.env[KEY_VARIABLE];
  if (entries.length === 0) {
    return `name an entry's internal URL with --entry or ${ENTRY_VARIABLE}`;
  }
  if (!key) return `give the operators' key with --key or ${KEY_VARIABLE}`;
  return {
    client: new OperatorClient(entries, key),
    output: createOutput(options.json === true),
    operator: options.operator ?? userInfo().username,
    commandId: options.commandId ?? randomUUID(),
    baseRevision: options.baseRevision,
    waitsUntilActive: options.wait,
  };
}

export function reportClientError(
  output: Output,
  error: ClientError,
): ExitCode {
  if (error.kind === 'unauthorized') {
    output.error("the operators' key was refused");
    return EXIT.unauthorized;
  }
  output.error('no entry had an answer:');
  for (const reason of error.reasons) output.error(`  ${reason}`);
  return EXIT.unreachable;
}
