/**
 * The default logger. Each event is one line of key=value pairs on standard
 * error, written through roarr so that embedding programs can redirect it.
 *
 * Empty values and values with spaces, quotes or equals signs are JSON-quoted,
 * so that a line can be parsed back into its pairs unambiguously.
 */
import {Roarr, ROARR} from 'roarr';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';
export type LogValue = string | number | boolean | null | undefined;
export type LogFields = Readonly<Record<string, LogValue>>;

/** Each method logs one event; `event` is a fixed snake_case name. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

const LEVEL_NUMBER: Readonly<Record<LogLevel, number>> = {
  debug: 20,
  info: 30,
  warn: 40,
  error: 50,
};
const LEVEL_NAME = new Map(
  Object.entries(LEVEL_NUMBER).map(([name, number]) => [number, name]),
);
const NEEDS_QUOTES = /[\s"=]|^$/;

function formatValue(value: LogValue): string {
  const text = String(value);
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/** Formats one event as a line of key=value pairs, omitting undefined values. */
export function formatLine(
  timeMs: number,
  level: string,
  event: string,
  fields: LogFields,
): string {
  const parts = [
    `time=${new Date(timeMs).toISOString()}`,
    `level=${level}`,
    `event=${event}`,
  ];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) parts.push(`${key}=${formatValue(value)}`);
  }
  return parts.join(' ');
}

interface RoarrMessage {
  readonly context: {logLevel?: number; fields?: LogFields};
  readonly message: string;
  readonly time: number;
}

/** Sends roarr messages at level `minimum` or above to `writeLine` as log lines. */
export function installLogWriter(
  minimum: LogLevel,
  writeLine: (line: string) => void,
): void {
  ROARR.write = (serialized: string) => {
    const message = JSON.parse(serialized) as RoarrMessage;
    const level = message.context.logLevel ?? LEVEL_NUMBER.info;
    if (level < LEVEL_NUMBER[minimum]) return;
    const name = LEVEL_NAME.get(level) ?? 'info';
    const fields = message.context.fields ?? {};
    writeLine(formatLine(message.time, name, message.message, fields));
  };
}

/** Creates a logger that puts the fields of `base` first in every event. */
export function createLogger(base: LogFields): Logger {
  const write =
    (level: LogLevel) =>
    (event: string, fields: LogFields = {}) => {
      const context = {
        logLevel: LEVEL_NUMBER[level],
        fields: {...base, ...fields},
      };
      Roarr(context as never, event);
    };
  return {
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
  };
}

/** A logger that discards every event, for embedding programs and tests. */
export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
