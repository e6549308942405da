/**
 * Schema of a target's announcement, the body of `POST /targets/announce`.
 * docs/TARGETS.md describes the whole protocol between targets and daemons.
 */
import {isIP} from 'node:net';
import {z} from 'zod';

const MAX_CACHE_EVENTS = 10_000;
const MAX_COUNT = 1_000_000_000;
const name = z
  .string()
  .min(1)
  .max(128)
  .regex(/^[A-Za-z0-9._-]+$/);
const count = z.int().min(0).max(MAX_COUNT);

export const cacheEventSchema = z.strictObject({
  kind: z.enum(['stored', 'evicted']),
  prefix: z.string().min(1).max(64),
});

export const announcementSchema = z.strictObject({
  target: name,
  /** Id of one start of the target; changes with every restart. */
  incarnation: name,
  zone: name,
  service: name,
  address: z.string().refine(text => isIP(text) !== 0, 'an IP address'),
  port: z.int().min(1).max(65_535),
  models: z
    .array(z.strictObject({model: name, version: name}))
    .max(64)
    .default([]),
  /** Concurrent requests that the target can handle when warm. */
  slots: z.int().min(1).max(100_000),
  /** Concurrent requests that the target can handle when cold. */
  cold_slots: z.int().min(1).max(100_000),
  /** KV cache for prompts and outputs, in tokens; 0 for a plain service. */
  kv_tokens: count.default(0),
  is_warm: z.boolean(),
  /** Time since the target became warm. */
  warm_for_ms: count.default(0),
  /** Set while the target is draining: time left until it stops. */
  leaving_in_ms: count.optional(),
  load: z.strictObject({
    running: count,
    waiting: count,
    kv_used_tokens: count,
    /** Age of these load figures when the announcement was sent. */
    age_ms: count,
  }),
  /**
   * Prefix cache events since the previous announcement. A gap in the sequence
   * numbers invalidates all earlier events.
   */
  cache: z
    .strictObject({
      first_seq: count,
      events: z.array(cacheEventSchema).max(MAX_CACHE_EVENTS),
    })
    .optional(),
});

export type Announcement = z.infer<typeof announcementSchema>;
export type CacheEvent = z.infer<typeof cacheEventSchema>;
