/**
 * A logger for processes that must never block on their log output: lines are
 * buffered and written in batches, each event name has a limit of lines per
 * second, and a line of its own reports how many were suppressed.
 */
import {
  formatLine,
  type LogFields,
  type Logger,
  type LogLevel,
} from './logger.js';

const FLUSH_INTERVAL_MS = 100;
const RATE_WINDOW_MS = 1_000;
const MAX_BUFFERED_BYTES = 262_144;

export interface LineLoggerOptions {
  /** Maximum lines per event name and second; further ones are only counted. */
  readonly maxLinesPerS: number;
  /** Writes without blocking and calls `done` once the text was accepted. */
  readonly write: (text: string, done: () => void) => void;
  readonly wallMs: () => number;
}

interface EventCount {
  written: number;
  suppressed: number;
}

export interface LineLogger extends Logger {
  /** Writes the buffered lines, unless an earlier write is still pending. */
  flush(): void;
}

export function createLineLogger(
  base: LogFields,
  options: LineLoggerOptions,
): LineLogger {
  const counts = new Map<string, EventCount>();
  let lines: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let windowStartMs = 0;

  const flush = () => {
    if (isWriting || lines.length === 0) return;
    const text = lines.join('');
    lines = [];
    bufferedBytes = 0;
    isWriting = true;
    options.write(text, () => {
      isWriting = false;
      if (lines.length > 0) schedule();
    });
  };
  const schedule = () => {
    if (timer) return;
    timer = setTimeout(() => {
      timer = undefined;
      flush();
    }, FLUSH_INTERVAL_MS);
    timer.unref();
  };
  const push = (level: string, event: string, fields: LogFields) => {
    const line = formatLine(options.wallMs(), level, event, {
      ...base,
      ...fields,
    });
    bufferedBytes += line.length + 1;
    lines.push(`${line}\n`);
    schedule();
  };
  const rollWindow = () => {
    const nowMs = options.wallMs();
    if (Math.abs(nowMs - windowStartMs) < RATE_WINDOW_MS) return;
    windowStartMs = nowMs;
    for (const [event, {suppressed}] of counts) {
      if (suppressed > 0)
        push('warn', 'lines_left_out', {of: event, count: suppressed});
    }
    counts.clear();
  };
  const write =
    (level: LogLevel) =>
    (event: string, fields: LogFields = {}) => {
      rollWindow();
      const count = counts.get(event) ?? {written: 0, suppressed: 0};
      counts.set(event, count);
      const isOverLimit =
        count.written >= options.maxLinesPerS ||
        bufferedBytes > MAX_BUFFERED_BYTES;
      if (isOverLimit) {
        count.suppressed += 1;
        return;
      }
      count.written += 1;
      push(level, event, fields);
    };
  return {
    debug: () => undefined,
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
    flush,
  };
}
