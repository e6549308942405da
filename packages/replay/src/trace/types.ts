/**
 * The trace format: JSON lines. The first line is the head (deployment, number
 * of entries, targets and expected outcomes); every other line is an arrival or
 * an event, ordered by time. docs/TRACES.md describes each field. A trace never
 * contains prompt text.
 */
import {z} from 'zod';

const count = z.number().min(0).max(1e12);
const name = z.string().min(1).max(128);

const targetSchema = z.strictObject({
  target: name,
  zone: name,
  service: name,
  slots: z.int().min(1),
  cold_slots: z.int().min(1),
  kv_tokens: z.int().min(1),
});

/** Bounds on the figures of a replay. A bound that is absent is not checked. */
const outcomesSchema = z.strictObject({
  max_lost: count.optional(),
  max_above_bearing: count.optional(),
  min_completed_share: count.optional(),
  max_zone_first_token_ratio: count.optional(),
});

export const headSchema = z.strictObject({
  kind: z.literal('head'),
  version: z.literal(1),
  deployment: name,
  entries: z.int().min(1).max(1_000),
  duration_ms: count,
  targets: z.array(targetSchema).min(1),
  outcomes: outcomesSchema,
});

const arrivalSchema = z.strictObject({
  kind: z.literal('arrival'),
  at_ms: count,
  entry: z.int().min(0),
  workspace: name,
  service: name,
  priority: z.int().min(0).max(9),
  prompt_tokens: z.int().min(1),
  /** Names the shared prompt prefix; empty when the prompt shares none. */
  prefix: z.string().max(64),
  output_tokens: z.int().min(1),
});

const eventSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('zone_out'), at_ms: count, zone: name}),
  z.strictObject({kind: z.literal('zone_back'), at_ms: count, zone: name}),
  z.strictObject({kind: z.literal('turned_cold'), at_ms: count, target: name}),
]);

export const lineSchema = z.union([arrivalSchema, eventSchema]);

export type TraceHead = z.infer<typeof headSchema>;
export type TraceTarget = z.infer<typeof targetSchema>;
export type Arrival = z.infer<typeof arrivalSchema>;
export type TraceEvent = z.infer<typeof eventSchema>;
export type TraceLine = z.infer<typeof lineSchema>;

export interface Trace {
  readonly head: TraceHead;
  readonly lines: readonly TraceLine[];
}
