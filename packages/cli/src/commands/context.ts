/** Context shared by all commands that contact a deployment. */
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

/** Returns an error message if the entries or the operators' key are missing. */
export function createContext(options: GlobalOptions): CommandContext | string {
  const entriesFromEnvironment = process.env[ENTRY_VARIABLE]?.split(',') ?? [];
  const entries = options.entry ?? entriesFromEnvironment;
  const key = options.key ?? process.env[KEY_VARIABLE];
  if (entries.length === 0) {
    return `missing the internal URL of an entry; set it with --entry or ${ENTRY_VARIABLE}`;
  }
  if (!key)
    return `missing the operators' key; set it with --key or ${KEY_VARIABLE}`;
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
    output.error("the operators' key was rejected");
    return EXIT.unauthorized;
  }
  output.error('no entry responded:');
  for (const reason of error.reasons) output.error(`  ${reason}`);
  return EXIT.unreachable;
}
