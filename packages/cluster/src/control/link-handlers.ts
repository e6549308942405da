/** Handlers of the messages that other daemons send to a control daemon. */
import type {Demand, DispatchResult} from '@samphirefield/gateway';
import type {SuspectRequest} from '@samphirefield/policy/quarantine';
import type {DocumentHistory} from '../documents/index.js';
import type {Address, Peer, RpcHandlers} from '../link/index.js';
import {READ_TIMEOUT_MS} from './group-access.js';
import type {GroupReplica} from './group-replica.js';
import type {
  CrashMessage,
  FinishMessage,
  GroupStatus,
  HeldRuns,
  Hello,
  JoinRequest,
  LeaveOutcome,
  LeaveRequest,
  MoreRuns,
  MovePermitMessage,
  PullRequest,
  RaftLinkMessage,
  SendRequest,
  StatementsMessage,
  StateUpdate,
  SuspectsMessage,
  TargetLoadsMessage,
  TargetsMessage,
} from './messages.js';
import type {QuarantineKeeper} from './quarantine-keeper.js';
import type {ReservationManager} from './reservations.js';
import type {RolloutKeeper} from './rollout-keeper.js';
import type {RolloutReportMessage} from './rollout-messages.js';
import type {StartRolloutCommand} from './rollout-state.js';
import type {ClusterCommand, ClusterState} from './state-machine.js';
import type {StatementKeeper} from './statement-keeper.js';
import type {TargetLoadKeeper} from './target-load-keeper.js';
import type {TargetRegistry} from './target-registry.js';

export interface LinkHandlerOptions {
  /** Undefined while the storage of the replica is not open. */
  readonly group: () => GroupReplica | undefined;
  readonly isLeader: () => boolean;
  /** Begins a term that this daemon leads, if that has not been done. */
  readonly startTermIfLeader: () => void;
  /** The newest accepted state; undefined if no leader can confirm it. */
  readonly readNewest: () => Promise<ClusterState | undefined>;
  readonly documents: DocumentHistory;
  readonly registry: TargetRegistry;
  readonly reservations: ReservationManager;
  readonly quarantine: QuarantineKeeper;
  readonly statements: StatementKeeper;
  readonly targetLoads: TargetLoadKeeper;
  readonly rollouts: RolloutKeeper;
  readonly linkTo: (addresses: readonly Address[]) => void;
  readonly onHello: (hello: Hello, peer: Peer) => void;
  readonly onStatus: (status: GroupStatus) => void;
  readonly onJoin: (request: JoinRequest) => void;
}

export function createLinkHandlers(options: LinkHandlerOptions): RpcHandlers {
  return {...groupHandlers(options), ...entryHandlers(options)};
}

function groupHandlers(options: LinkHandlerOptions): RpcHandlers {
  const {group, registry} = options;
  return {
    hello: (hello: Hello, peer: Peer) => options.onHello(hello, peer),
    raft: (message: RaftLinkMessage) => {
      options.linkTo([message.replyTo]);
      group()?.receive(message.envelope, message.replyTo);
    },
    join: (request: JoinRequest) => options.onJoin(request),
    leave: ({replica}: LeaveRequest): Promise<LeaveOutcome> | LeaveOutcome =>
      group()?.membership.release(replica) ?? 'not_leader',
    targets: (message: TargetsMessage) => {
      for (const item of message.items) registry.mergeUpdate(item);
    },
    status: (status: GroupStatus) => options.onStatus(status),
    submit: (command: ClusterCommand) =>
      group()?.submit(command) ?? {kind: 'not_leader'},
    start_rollout: (command: StartRolloutCommand) =>
      options.rollouts.start(command),
    read_newest: (request: PullRequest) => readAsLeader(group(), request),
    pull_state: (request: PullRequest) => stateFor(options, request),
  };
}

/** The document is left out if the requester has its version. */
async function readAsLeader(
  group: GroupReplica | undefined,
  {knownVersion}: PullRequest,
): Promise<StateUpdate | undefined> {
  const state = await group?.readNewest(READ_TIMEOUT_MS);
  if (state === undefined || state.version !== knownVersion) return state;
  return {...state, document: undefined};
}

/** Undefined if there is no state, or if it must be the newest and may not be. */
async function stateFor(
  {group, readNewest, documents}: LinkHandlerOptions,
  {knownVersion, acceptsUpdates, mustBeNewest}: PullRequest,
): Promise<StateUpdate | undefined> {
  const state = mustBeNewest ? await readNewest() : group()?.state;
  if (state === undefined) return undefined;
  const {version, document, ...rest} = state;
  if (version === knownVersion) return {...rest, version, document: undefined};
  const update = acceptsUpdates
    ? await documents.updateFrom(knownVersion, version, document)
    : undefined;
  if (update === undefined) return state;
  return {...rest, version, document: undefined, update};
}

function entryHandlers(options: LinkHandlerOptions): RpcHandlers {
  const {isLeader, startTermIfLeader} = options;
  const {reservations, quarantine, statements, targetLoads, rollouts} = options;
  return {
    place: (demand: Demand): Promise<DispatchResult> => {
      if (!isLeader()) return Promise.reject(new Error('not_leader'));
      startTermIfLeader();
      return reservations.reserve(demand);
    },
    finish: (message: FinishMessage) => reservations.release(message),
    take_turn: (message: MovePermitMessage) =>
      reservations.acquireMovePermit(message),
    end_turn: (message: MovePermitMessage) =>
      reservations.releaseMovePermit(message),
    crash: (message: CrashMessage) => quarantine.recordCrash(message),
    suspects_answered: ({fingerprints}: SuspectsMessage) =>
      quarantine.clear(fingerprints),
    admit_suspects: (request: SuspectRequest) => quarantine.admit(request),
    suspects_ended: ({fingerprints}: SuspectsMessage) =>
      quarantine.endRun(fingerprints),
    statements: ({reports}: StatementsMessage) => {
      startTermIfLeader();
      if (!isLeader()) return;
      for (const report of reports) statements.learn(report);
    },
    target_loads: ({rows}: TargetLoadsMessage) => {
      if (isLeader()) targetLoads.learn(rows);
    },
    take_send: (request: SendRequest) =>
      isLeader()
        ? statements.takeSend(request)
        : Promise.reject(new Error('not_leader')),
    rollout_report: (message: RolloutReportMessage) => rollouts.report(message),
    held_runs: (held: HeldRuns) => {
      // Runs that arrive before this daemon knows its term would be cleared.
      startTermIfLeader();
      reservations.replaceRuns(held);
    },
    more_runs: (more: MoreRuns) => {
      startTermIfLeader();
      reservations.addRuns(more);
    },
  };
}
