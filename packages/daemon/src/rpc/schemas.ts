/**
 * Schemas of all messages between daemons. A message that doesn't match its
 * schema is rejected with an error and changes nothing.
 */
import {z} from 'zod';
import {
  announcementSchema,
  type ClaimId,
  type CommandId,
  type Fingerprint,
  type InstanceId,
  type Revision,
  type ServiceId,
  type TargetId,
  type ZoneId,
} from '@samphirefield/core';
import type {HolderId} from '@samphirefield/policy';
import type {RaftMessage, ReplicaId} from '@samphirefield/replication';

const MAX_LIST_LENGTH = 100_000;
const MAX_TEXT_LENGTH = 16_777_216;
const id = <T extends string>() =>
  z
    .string()
    .min(1)
    .max(512)
    .transform(text => text as T);
const count = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
const index = z.int().min(0);
const timeMs = z.number();

const replica = z.object({
  id: id<ReplicaId>(),
  instance: z.string(),
  address: z.string(),
  port: z.int().min(0).max(65_535),
  role: z.enum(['voter', 'learner']),
});
const membership = z.object({replicas: z.array(replica).max(100)});
const logEntry = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('noop'), index, term: index}),
  z.object({
    kind: z.literal('command'),
    index,
    term: index,
    data: z.string().max(MAX_TEXT_LENGTH),
  }),
  z.object({kind: z.literal('membership'), index, term: index, membership}),
]);

const raftMessage: z.ZodType<RaftMessage> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('vote_request'),
    term: index,
    lastIndex: index,
    lastTerm: index,
    isPreVote: z.boolean(),
    isTransfer: z.boolean(),
  }),
  z.object({
    kind: z.literal('vote_response'),
    term: index,
    isPreVote: z.boolean(),
    isGranted: z.boolean(),
  }),
  z.object({
    kind: z.literal('append_request'),
    term: index,
    prevIndex: index,
    prevTerm: index,
    entries: z.array(logEntry).max(MAX_LIST_LENGTH),
    commitIndex: index,
    sentAtMs: timeMs,
  }),
  z.object({
    kind: z.literal('append_response'),
    term: index,
    isSuccess: z.boolean(),
    index,
    rejectedPrevIndex: index,
    sentAtMs: timeMs,
  }),
  z.object({
    kind: z.literal('snapshot_request'),
    term: index,
    index,
    snapshotTerm: index,
    membership,
    offsetBytes: index,
    totalBytes: index,
    chunk: z.string().max(MAX_TEXT_LENGTH),
    sentAtMs: timeMs,
  }),
  z.object({
    kind: z.literal('snapshot_response'),
    term: index,
    index,
    receivedBytes: index,
    isInstalled: z.boolean(),
    sentAtMs: timeMs,
  }),
  z.object({kind: z.literal('timeout_now'), term: index}),
]);

export const envelopeSchema = z.object({
  from: id<ReplicaId>(),
  to: id<ReplicaId>(),
  message: raftMessage,
});

const fingerprints = z.array(id<Fingerprint>()).max(MAX_LIST_LENGTH);

const entryReport = z.object({
  holder: id<HolderId>(),
  instance: id<InstanceId>(),
  zone: id<ZoneId>(),
  sequence: index,
  held: z
    .array(
      z.object({
        target: id<TargetId>(),
        incarnation: z.string(),
        slots: count,
        kvTokens: count,
        inUse: count,
        kvInUse: count,
        finished: count,
      }),
    )
    .max(MAX_LIST_LENGTH),
  demand: z
    .array(
      z.object({service: id<ServiceId>(), waiting: count, kvNeedTokens: count}),
    )
    .max(MAX_LIST_LENGTH),
  announcements: z
    .array(z.object({announcement: announcementSchema, heardAgoMs: count}))
    .max(MAX_LIST_LENGTH),
  deaths: z
    .array(
      z.object({
        death: z.string(),
        fingerprints,
        /** Missing in heartbeats of earlier versions. */
        prompts: z.array(fingerprints).max(MAX_LIST_LENGTH).default([]),
      }),
    )
    .max(MAX_LIST_LENGTH),
  clearedSuspects: fingerprints,
  /** Missing in heartbeats of earlier versions. */
  inheritedQuarantine: fingerprints.default([]),
  waitingSuspects: fingerprints,
  runningSuspects: fingerprints,
  knownTargetsVersion: index,
  knownQuarantineVersion: z.int(),
});

export const heartbeatSchema = z.object({
  report: entryReport,
  revision: index.transform(value => value as Revision),
  configHash: z.string().max(64),
  /** Term of the leader whose tables the report's known versions refer to. */
  knownTerm: index,
  /** Set by a daemon that has a disk and so hosts a replica. */
  replica: z
    .object({
      id: id<ReplicaId>(),
      address: z.string(),
      port: z.int(),
      isMember: z.boolean(),
    })
    .optional(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

const bounds = z.object({
  maxRecords: index,
  maxAnswerBytes: index,
  retentionMs: index,
});
const storedResponse = z.object({
  status: z.int(),
  contentType: z.string().max(256),
  bodyBase64: z.string().max(MAX_TEXT_LENGTH),
});
const claimFields = {key: z.string().min(1).max(1_024), claimId: id<ClaimId>()};

export const ledgerCommandSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('claim'),
    ...claimFields,
    fingerprint: id<Fingerprint>(),
    holder: z.string(),
    atMs: timeMs,
    bounds,
  }),
  z.object({
    kind: z.literal('complete'),
    ...claimFields,
    answer: storedResponse.optional().transform(response => response),
    atMs: timeMs,
    bounds,
  }),
  z.object({
    kind: z.literal('release'),
    ...claimFields,
    holder: z.string(),
    atMs: timeMs,
  }),
  z.object({kind: z.literal('forget'), ...claimFields, atMs: timeMs}),
  z.object({kind: z.literal('abandon'), holder: z.string(), atMs: timeMs}),
]);

export const peekSchema = z.object({
  key: z.string().min(1).max(1_024),
  fingerprint: id<Fingerprint>(),
});

export const operatorChangeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('apply_rules'),
    text: z.string().max(MAX_TEXT_LENGTH),
  }),
  z.object({kind: z.literal('zone'), zone: id<ZoneId>(), isOut: z.boolean()}),
  z.object({
    kind: z.literal('target'),
    target: id<TargetId>(),
    isOut: z.boolean(),
  }),
]);

export const operatorCommandSchema = z.object({
  commandId: z
    .string()
    .min(1)
    .max(128)
    .transform(text => text as CommandId),
  baseRevision: index.transform(value => value as Revision),
  operator: z.string().min(1).max(128),
  /** Whether a zone or target that no daemon has seen may be taken out. */
  isUnseenAllowed: z.boolean().default(false),
  change: operatorChangeSchema,
});
export type OperatorRequest = z.infer<typeof operatorCommandSchema>;

export const emptySchema = z.object({});
