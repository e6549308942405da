/** Parses and formats trace files; a parse error names the line. */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {headSchema, lineSchema, type Trace, type TraceLine} from './types.js';

/** Why a trace cannot be parsed; `line` counts from 1. */
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
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  return err({line, message: `${issue?.path.join('.')}: ${issue?.message}`});
}

export function parseTrace(text: string): Result<Trace, TraceError> {
  const [headText = '', ...lineTexts] = text.trimEnd().split('\n');
  const head = parseLine(headSchema, headText, 1);
  if (head.isErr()) return err(head.error);
  const lines: TraceLine[] = [];
  for (const [position, lineText] of lineTexts.entries()) {
    const line = parseLine(lineSchema, lineText, position + 2);
    if (line.isErr()) return err(line.error);
    const isOutOfOrder = line.value.at_ms < (lines.at(-1)?.at_ms ?? 0);
    if (isOutOfOrder) {
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
