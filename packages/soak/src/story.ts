/** Tells people what happened in a soak that broke a promise. */
import type {Violation} from './checks.js';
import type {Daemon} from './processes.js';
import type {CallRecord, FaultRecord} from './types.js';

const MS_PER_S = 1_000;
const LOG_LINES = 12;
const TIME_LINE_CALLS = 40;

export interface StoryParts {
  readonly startedAtMs: number;
  readonly faults: readonly FaultRecord[];
  readonly calls: readonly CallRecord[];
  readonly daemons: readonly Daemon[];
  readonly violations: readonly Violation[];
}

/** The faults, the calls of broken promises, the last lines of each process. */
export function tellStory(parts: StoryParts): string {
  const since = (ms: number) =>
    ((ms - parts.startedAtMs) / MS_PER_S).toFixed(2);
  const faults = parts.faults.map(
    ({name, fromMs, untilMs}) => `${since(fromMs)}-${since(untilMs)} ${name}`,
  );
  const attempts = new Set(parts.violations.map(({attempt}) => attempt));
  const calls = parts.calls
    .filter(({attempt}) => attempts.has(attempt))
    .slice(0, TIME_LINE_CALLS)
    .map(
      call =>
        `${since(call.sentAtMs)}-${since(call.endedAtMs)} ${JSON.stringify(call)}`,
    );
  const logs = parts.daemons.map(
    daemon => `${daemon.name}:\n${daemon.lastLines(LOG_LINES)}`,
  );
  return [...faults, ...calls, ...logs].join('\n');
}
