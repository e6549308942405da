/** Reads and writes traces; an error names the line. */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {headSchema, lineSchema, type Trace, type TraceLine} from './types.js';

export interface TraceError {
  readonly line: number;
  readonly message: string;
}

function parseLine<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
  line: number,
): Result<z.output<Schema>, TraceError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return err({line, message: 'the line is not JSON'});
  }
  const checked = schema.safeParse(value);
  if (checked.success) return ok(checked.data);
  const issue = checked.error.issues[0];
  return err({line, message: `${issue?.path.join('.')}: ${issue?.message}`});
}

export function parseTrace(text: string): Result<Trace, TraceError> {
  const [first = '', ...rest] = text.trimEnd().split('\n');
  const head = parseLine(headSchema, first, 1);
  if (head.isErr()) return err(head.error);
  const lines: TraceLine[] = [];
  for (const [position, source] of rest.entries()) {
    const line = parseLine(lineSchema, source, position + 2);
    if (line.isErr()) return err(line.error);
    const isLate = line.value.at_ms < (lines.at(-1)?.at_ms ?? 0);
    if (isLate) {
      return err({line: position + 2, message: 'at_ms: goes back in time'});
    }
    lines.push(line.value);
  }
  return ok({head: head.value, lines});
}

export function formatTrace(trace: Trace): string {
  const values = [trace.head, ...trace.lines];
  return `${values.map(value => JSON.stringify(value)).join('\n')}\n`;
}
