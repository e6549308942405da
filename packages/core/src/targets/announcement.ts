/**
 * How a target announces itself: the body of `POST /targets/announce`.
 * docs/TARGETS.md describes the whole protocol between targets and daemons.
 */
import {isIP} from 'node:net';
import {z} from 'zod';

const MAX_ITEMS = 10_000;
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
  /** Changes with every start of the target. */
  incarnation: name,
  zone: name,
  service: name,
  address: z.string().refine(text => isIP(text) !== 0, 'an IP number'),
  port: z.int().min(1).max(65_535),
  models: z
    .array(z.strictObject({model: name, version: name}))
    .max(64)
    .default([]),
  /** Requests it bears at once when warm, and when cold. */
  slots: z.int().min(1).max(100_000),
  cold_slots: z.int().min(1).max(100_000),
  /** Memory for prompts and outputs; 0 for a plain service. */
  kv_tokens: count.default(0),
  is_warm: z.boolean(),
  /** How long it has been warm. */
  warm_for_ms: count.default(0),
  /** Set once it is about to leave: the time it still has. */
  leaving_in_ms: count.optional(),
  load: z.strictObject({
    running: count,
    waiting: count,
    kv_used_tokens: count,
    /** Age of these figures when they were sent. */
    age_ms: count,
  }),
  /** Events since the last announcement; a gap in the numbers voids all before. */
  cache: z
    .strictObject({
      first_seq: count,
      events: z.array(cacheEventSchema).max(MAX_ITEMS),
    })
    .optional(),
});

export type Announcement = z.infer<typeof announcementSchema>;
export type CacheEvent = z.infer<typeof cacheEventSchema>;
