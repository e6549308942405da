/**
 * The settings schema of a daemon: every key with its bounds, its default and
 * its description. docs/SETTINGS.md is generated from this schema.
 */
import {isIP} from 'node:net';
import {z} from 'zod';

const MIN_SECRET_LENGTH = 16;
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

const name = (description: string) =>
  z
    .string()
    .regex(NAME_PATTERN, 'a lower-case name of letters, digits and hyphens')
    .describe(description);
const ipAddress = (description: string) =>
  z
    .string()
    .refine(text => isIP(text) !== 0, 'an IP address')
    .describe(description);
const port = (description: string) =>
  z.int().min(0).max(65_535).describe(description);
const secret = (description: string) =>
  z.string().min(MIN_SECRET_LENGTH).describe(description);
const durationMs = (defaultMs: number, description: string) =>
  z.int().min(1).max(86_400_000).default(defaultMs).describe(description);
const count = (defaultValue: number, maximum: number, description: string) =>
  z.int().min(1).max(maximum).default(defaultValue).describe(description);

const endpoint = (what: string) =>
  z.strictObject({
    address: ipAddress(`IP address on which ${what} is served`),
    port: port(`TCP port on which ${what} is served; 0 picks a free port`),
  });

const voter = z.strictObject({
  id: name('Instance id of the voter'),
  address: ipAddress('IP address of its internal listener'),
  port: port('TCP port of its internal listener'),
});

export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    id: name('Id of this instance, unique in the deployment'),
    zone: name('Availability zone of this instance'),
    deployment: name(
      'Name of the deployment; daemons of other deployments are rejected',
    ),
  }),
  callers: endpoint("the callers' API"),
  internal: endpoint("the API for daemons, targets and operators' tools"),
  cluster: z.strictObject({
    key: secret('Key shared by the daemons of this deployment'),
    voters: z
      .array(voter)
      .min(1)
      .max(7)
      .describe(
        'Voters to contact first; the replicated log holds the current voters',
      ),
  }),
  voter: z
    .strictObject({
      data_folder: z
        .string()
        .min(1)
        .describe(
          'Folder for the replicated log and its snapshots; makes this instance a voter',
        ),
    })
    .optional(),
  targets: z.strictObject({
    key: secret(
      'Key shared with the targets, which authenticates their announcements',
    ),
  }),
  operators: z.strictObject({
    key: secret('Key that authenticates the operators of this deployment'),
  }),
  timing: z
    .strictObject({
      heartbeat_ms: durationMs(500, 'Time between heartbeats to the leader'),
      view_lease_ms: durationMs(
        3_000,
        "Lease of an entry's configuration: how long a proof that it is current is valid",
      ),
      election_timeout_min_ms: durationMs(500, 'Shortest election timeout'),
      election_timeout_max_ms: durationMs(1_000, 'Longest election timeout'),
      clock_drift_ms: durationMs(
        50,
        'Margin for the drift between monotonic clocks',
      ),
      rpc_timeout_ms: durationMs(400, 'Timeout of a call between daemons'),
      target_lapse_ms: durationMs(
        4_000,
        'Time without an announcement after which a target expires',
      ),
      stream_silence_ms: durationMs(
        2_000,
        'Time without data on a stream after which it is probed on a new connection',
      ),
      resume_window_ms: durationMs(
        10_000,
        'How long a generation is kept for a caller that disconnected',
      ),
      plain_timeout_ms: durationMs(
        30_000,
        'Timeout for the first byte of a response from a plain service',
      ),
      quarantine_ms: durationMs(
        600_000,
        'Quarantine of a request that crashed targets: how long it is rejected',
      ),
    })
    .prefault({})
    .describe('Timing'),
  limits: z
    .strictObject({
      body_bytes: count(1_048_576, 67_108_864, 'Largest request body'),
      queue_per_service: count(
        512,
        1_000_000,
        'Maximum length of the queue of one service',
      ),
      queue_wait_ms: durationMs(15_000, 'Maximum wait in a queue'),
      stream_buffer_bytes: count(
        262_144,
        16_777_216,
        'Bytes buffered for a slow caller before its stream is paused',
      ),
      stored_answer_bytes: count(
        65_536,
        1_048_576,
        'Largest response stored for repeats of a non-repeatable request',
      ),
      ledger_records: count(
        200_000,
        10_000_000,
        'Maximum number of ledger records of non-repeatable requests',
      ),
      ledger_retention_ms: durationMs(
        86_400_000,
        'How long the response to a non-repeatable request is stored',
      ),
    })
    .prefault({})
    .describe('Bounds'),
  log: z
    .strictObject({
      level: z
        .enum(['debug', 'info', 'warn', 'error'])
        .default('info')
        .describe('Lowest level that is written'),
    })
    .prefault({})
    .describe('Logging'),
});

export type Settings = z.infer<typeof settingsSchema>;
export type VoterAddress = Settings['cluster']['voters'][number];
