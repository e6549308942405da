/**
 * The one typed configuration of a daemon: every key, its bounds, its default
 * and its description. docs/SETTINGS.md is generated from this schema.
 */
import {isIP} from 'node:net';
import {z} from 'zod';

const MIN_SECRET_LENGTH = 16;
const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;

const name = (description: string) =>
  z
    .string()
    .regex(NAME, 'a lower-case name of letters, digits and hyphens')
    .describe(description);
const ipAddress = (description: string) =>
  z
    .string()
    .refine(text => isIP(text) !== 0, 'an IP number')
    .describe(description);
const port = (description: string) =>
  z.int().min(0).max(65_535).describe(description);
const secret = (description: string) =>
  z.string().min(MIN_SECRET_LENGTH).describe(description);
const durationMs = (value: number, description: string) =>
  z.int().min(1).max(86_400_000).default(value).describe(description);
const count = (value: number, maximum: number, description: string) =>
  z.int().min(1).max(maximum).default(value).describe(description);

const endpoint = (what: string) =>
  z.strictObject({
    address: ipAddress(`IP number that ${what} is served on`),
    port: port(`TCP port that ${what} is served on; 0 picks a free one`),
  });

const voter = z.strictObject({
  id: name('Id of the instance that is a voter'),
  address: ipAddress('IP number of its internal listener'),
  port: port('Port of its internal listener'),
});

export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    id: name('Id of this instance, unique in the deployment'),
    zone: name('Availability zone of this instance'),
    deployment: name(
      'Name of the deployment; daemons of another one are refused',
    ),
  }),
  callers: endpoint("the callers' API"),
  internal: endpoint("the API of daemons, targets and operators' tools"),
  cluster: z.strictObject({
    key: secret('Shared key of the daemons of this deployment'),
    voters: z
      .array(voter)
      .min(1)
      .max(7)
      .describe('Voters to contact first; the log holds the voters in force'),
  }),
  voter: z
    .strictObject({
      data_folder: z
        .string()
        .min(1)
        .describe('Folder for the log and the snapshots; makes this a voter'),
    })
    .optional(),
  targets: z.strictObject({
    key: secret('Shared key with which targets announce themselves'),
  }),
  operators: z.strictObject({
    key: secret('Key of the operators of this deployment'),
  }),
  timing: z
    .strictObject({
      heartbeat_ms: durationMs(500, 'Time between heartbeats to the leader'),
      view_lease_ms: durationMs(3_000, 'How long a proof of freshness holds'),
      election_timeout_min_ms: durationMs(500, 'Shortest election timeout'),
      election_timeout_max_ms: durationMs(1_000, 'Longest election timeout'),
      clock_drift_ms: durationMs(50, 'Margin by which monotonic clocks differ'),
      rpc_timeout_ms: durationMs(400, 'Time after which a call is given up'),
      target_lapse_ms: durationMs(
        4_000,
        'Silence after which a target counts as gone',
      ),
      stream_silence_ms: durationMs(
        2_000,
        'Silence on a stream after which it is probed on a new connection',
      ),
      resume_window_ms: durationMs(
        10_000,
        'How long a generation is kept for a caller that left',
      ),
      plain_timeout_ms: durationMs(
        30_000,
        'Time to the first byte of a plain answer',
      ),
      quarantine_ms: durationMs(
        600_000,
        'How long a request that crashed targets is refused',
      ),
    })
    .prefault({})
    .describe('Times'),
  limits: z
    .strictObject({
      body_bytes: count(1_048_576, 67_108_864, 'Largest request body'),
      queue_per_service: count(512, 1_000_000, 'Longest queue of one service'),
      queue_wait_ms: durationMs(15_000, 'Longest wait in a queue'),
      stream_buffer_bytes: count(
        262_144,
        16_777_216,
        'Bytes held for a slow caller before its stream is paused',
      ),
      stored_answer_bytes: count(
        65_536,
        1_048_576,
        'Largest answer kept for repeats of a non-repeatable request',
      ),
      ledger_records: count(
        200_000,
        10_000_000,
        'Most records of non-repeatable requests',
      ),
      ledger_retention_ms: durationMs(
        86_400_000,
        'How long the answer to a non-repeatable request is kept',
      ),
    })
    .prefault({})
    .describe('Bounds'),
  log: z
    .strictObject({
      level: z
        .enum(['debug', 'info', 'warn', 'error'])
        .default('info')
        .describe('Least level that is written'),
    })
    .prefault({})
    .describe('Logs'),
});

export type Settings = z.infer<typeof settingsSchema>;
export type VoterAddress = Settings['cluster']['voters'][number];
