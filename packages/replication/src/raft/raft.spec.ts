/** Tests of rules that the random schedules exercise too rarely. */
import {expect} from 'earl';
import {test} from 'node:test';
import {
  bootstrap,
  changeMembership,
  createRaft,
  holdsLease,
  propose,
  proposeMembershipChange,
  replicaId,
  stepMessage,
  stepPersisted,
  stepTick,
  takeEffects,
  type Envelope,
  type LogEntry,
  type Membership,
  type RaftConfig,
  type RaftState,
  type Replica,
} from './index.js';

const IDS = ['a/1', 'b/1', 'c/1'].map(replicaId);
const START_MS = 10_000;

const replica = (id: string, role: Replica['role'] = 'voter'): Replica => ({
  id: replicaId(id),
  instance: id.split('/')[0]!,
  address: '127.0.0.1',
  port: 1,
  role,
});
const THREE_VOTERS: Membership = {replicas: IDS.map(id => replica(id))};

function config(id: string): RaftConfig {
  return {
    id: replicaId(id),
    heartbeatMs: 100,
    electionTimeoutMinMs: 500,
    electionTimeoutMaxMs: 1_000,
    clockDriftMs: 50,
    maxEntriesPerMessage: 100,
    maxBytesPerMessage: 10_000,
    maxMessagesInFlight: 8,
    maxBytesInFlight: 2_097_152,
    snapshotChunkBytes: 100,
    randomBelow: () => 0,
  };
}

function restartReplica(
  id: string,
  membership: Membership = THREE_VOTERS,
): RaftState {
  const entries: LogEntry[] = [
    {index: 1, term: 1, kind: 'membership', membership},
  ];
  const stored = {
    hardState: {term: 1, votedFor: null},
    snapshot: undefined,
    entries,
  };
  return createRaft(config(id), stored, START_MS);
}

function takeSentEnvelopes(state: RaftState): Envelope[] {
  const effects = takeEffects(state);
  return [...effects.sendNow, ...effects.sendAfterPersist];
}

/** Makes a replica the leader of term 2 with the vote of one other voter. */
function elect(state: RaftState, atMs: number, voter = IDS[1]!): void {
  stepTick(state, atMs);
  for (const isPreVote of [true, false]) {
    takeEffects(state);
    stepMessage(state, atMs, voter, {
      kind: 'vote_response',
      term: 2,
      isPreVote,
      isGranted: true,
    });
  }
}

const VOTE_REQUEST = {
  kind: 'vote_request' as const,
  term: 2,
  lastIndex: 9,
  lastTerm: 1,
  isPreVote: false,
  isTransfer: false,
};

function takeVoteDecision(state: RaftState): boolean | undefined {
  const [response] = takeSentEnvelopes(state);
  return response?.message.kind === 'vote_response'
    ? response.message.isGranted
    : undefined;
}

test('a restarted voter grants no vote while an earlier leader may hold a lease', () => {
  const state = restartReplica('b/1');
  stepMessage(state, START_MS + 499, IDS[2]!, VOTE_REQUEST);
  expect(takeVoteDecision(state)).toEqual(false);
  stepMessage(state, START_MS + 500, IDS[2]!, VOTE_REQUEST);
  expect(takeVoteDecision(state)).toEqual(true);
});

test('a replica that never joined the group grants no vote', () => {
  const stored = {
    hardState: {term: 0, votedFor: null},
    snapshot: undefined,
    entries: [],
  };
  const state = createRaft(config('b/2'), stored, START_MS);
  stepMessage(state, START_MS + 5_000, IDS[0]!, VOTE_REQUEST);
  expect(takeVoteDecision(state)).toEqual(false);
});

test('a single voter sends nothing before its new term is stored', () => {
  const singleVoter = {replicas: [replica('a/1'), replica('b/1', 'learner')]};
  const state = restartReplica('a/1', singleVoter);
  stepTick(state, START_MS + 2_000);
  const effects = takeEffects(state);
  expect(state.role).toEqual('leader');
  expect(effects.sendNow.length).toEqual(0);
  expect(effects.sendAfterPersist.length > 0).toEqual(true);
});

test('a leader does not count its own log entry before it is synced', () => {
  const state = restartReplica('a/1');
  elect(state, START_MS + 2_000);
  takeEffects(state);
  const ack = {
    kind: 'append_response' as const,
    term: 2,
    isSuccess: true,
    index: 2,
    rejectedPrevIndex: 0,
    sentAtMs: START_MS + 2_000,
  };
  stepMessage(state, START_MS + 2_001, IDS[1]!, ack);
  expect(state.commitIndex).toEqual(0);
  stepPersisted(state, START_MS + 2_002, 2);
  expect(state.commitIndex).toEqual(2);
});

test('the lease starts at the send time of the echoed message', () => {
  const state = restartReplica('a/1');
  const sentAtMs = START_MS + 2_000;
  elect(state, sentAtMs);
  stepPersisted(state, sentAtMs, 2);
  const ack = {
    kind: 'append_response' as const,
    term: 2,
    isSuccess: true,
    index: 2,
    rejectedPrevIndex: 0,
    sentAtMs,
  };
  stepMessage(state, sentAtMs + 300, IDS[1]!, ack);
  expect(holdsLease(state, sentAtMs + 449)).toEqual(true);
  expect(holdsLease(state, sentAtMs + 450)).toEqual(false);
});

test('a leader without contact with a quorum steps down', () => {
  const state = restartReplica('a/1');
  elect(state, START_MS + 2_000);
  stepTick(state, START_MS + 3_001);
  expect(state.role).toEqual('follower');
});

test('accepts one membership change at a time', () => {
  const state = restartReplica('a/1');
  elect(state, START_MS + 2_000);
  const addLearner = (id: string) =>
    proposeMembershipChange(state, START_MS + 2_000, {
      kind: 'add_learner',
      replica: replica(id),
    });
  expect(addLearner('d/1')._unsafeUnwrapErr().kind).toEqual('change_pending');
  stepPersisted(state, START_MS + 2_000, 2);
  const ack = {
    kind: 'append_response' as const,
    term: 2,
    isSuccess: true,
    index: 2,
    rejectedPrevIndex: 0,
    sentAtMs: 0,
  };
  stepMessage(state, START_MS + 2_001, IDS[1]!, ack);
  expect(addLearner('d/1').isOk()).toEqual(true);
  expect(addLearner('e/1')._unsafeUnwrapErr().kind).toEqual('change_pending');
});

test('a disk creates a group only once', () => {
  const stored = {
    hardState: {term: 0, votedFor: null},
    snapshot: undefined,
    entries: [],
  };
  const state = createRaft(config('a/1'), stored, START_MS);
  const singleVoter = {replicas: [replica('a/1')]};
  expect(bootstrap(state, singleVoter).isOk()).toEqual(true);
  expect(bootstrap(state, singleVoter).isErr()).toEqual(true);
});

test('the last voter cannot be removed', () => {
  const singleVoter = {replicas: [replica('a/1'), replica('b/1', 'learner')]};
  const change = {kind: 'remove' as const, id: replicaId('a/1')};
  expect(changeMembership(singleVoter, change).isErr()).toEqual(true);
});

test('only a leader accepts commands', () => {
  const state = restartReplica('a/1');
  expect(propose(state, START_MS, ['x'])._unsafeUnwrapErr().kind).toEqual(
    'not_leader',
  );
});
