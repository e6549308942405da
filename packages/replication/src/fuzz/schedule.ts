/** Runs one random schedule of faults on a cluster and checks the invariants. */
import {currentMembership, lastIndex, type ReplicaId} from '../raft/index.js';
import {checkLinearizability, InvariantViolation} from './checks.js';
import {SimulatedCluster, type Host} from './cluster.js';

export interface ScheduleResult {
  readonly seed: number;
  readonly commands: number;
  readonly answered: number;
  readonly reads: number;
  readonly terms: number;
}

const HOST_COUNT = 5;
/** Number of fault rounds in one schedule. */
const ROUNDS = 30;
/** Usual maximum of hosts that are down at once; seldom exceeded. */
const MAX_HOSTS_DOWN = 2;
const SETTLE_MS = 3_000;
const HEAL_MS = 12_000;
const MAX_LEARNER_LAG_ENTRIES = 4;

function pickHost(cluster: SimulatedCluster): Host {
  return cluster.random.pick(cluster.hosts)!;
}

function partitionRandomly(cluster: SimulatedCluster): void {
  const {random, hosts, blockedLinks} = cluster;
  const isInFirstPart = hosts.map(() => random.chance(0.5));
  hosts.forEach((from, i) => {
    hosts.forEach((to, j) => {
      const crossesPartition = isInFirstPart[i] !== isInFirstPart[j];
      // Some links are blocked in one direction only.
      if (crossesPartition && random.chance(0.9))
        blockedLinks.add(`${from.name}>${to.name}`);
    });
  });
}

function changeMembershipRandomly(cluster: SimulatedCluster): void {
  const leader = cluster.random.pick(cluster.leaders());
  if (!leader?.process) return;
  const {raft} = leader.process;
  const members = currentMembership(raft).replicas;
  const nonMember = cluster.random.pick(
    cluster.hosts.filter(
      host => host.process && !members.some(m => m.id === host.replica),
    ),
  );
  const learner = cluster.random.pick(
    members.filter(member => member.role === 'learner'),
  );
  const isCaughtUp = (id: ReplicaId) =>
    lastIndex(raft.log) - (raft.progress.get(id)?.matchIndex ?? 0) <
    MAX_LEARNER_LAG_ENTRIES;
  if (learner && isCaughtUp(learner.id) && cluster.random.chance(0.6)) {
    cluster.changeMembership(leader, {kind: 'promote', id: learner.id});
  } else if (nonMember && cluster.random.chance(0.6)) {
    cluster.changeMembership(leader, {
      kind: 'add_learner',
      replica: cluster.replicaOf(nonMember, 'learner'),
    });
  } else {
    const removed = cluster.random.pick(members);
    if (removed && members.length > 2)
      cluster.changeMembership(leader, {kind: 'remove', id: removed.id});
  }
}

/** Isolates a host from all others, in both directions or only outbound. */
function isolate(cluster: SimulatedCluster, host: Host): void {
  const isOneWay = cluster.random.chance(0.2);
  for (const other of cluster.hosts) {
    if (other === host) continue;
    cluster.blockedLinks.add(`${host.name}>${other.name}`);
    if (!isOneWay) cluster.blockedLinks.add(`${other.name}>${host.name}`);
  }
}

/** Mostly picks a leader, because its faults are the hardest to handle. */
function pickLikelyLeader(cluster: SimulatedCluster): Host {
  const leader = cluster.random.pick(cluster.leaders());
  return leader && cluster.random.chance(0.7) ? leader : pickHost(cluster);
}

/** Blocks the link between two hosts that can both still reach the others. */
function blockLink(cluster: SimulatedCluster): void {
  const first = pickLikelyLeader(cluster);
  const second = pickHost(cluster);
  cluster.blockedLinks.add(`${first.name}>${second.name}`);
  cluster.blockedLinks.add(`${second.name}>${first.name}`);
}

/** Crashes several hosts at the same time and restarts them soon after. */
function crashSeveral(cluster: SimulatedCluster): void {
  const crashed = cluster.hosts.filter(() => cluster.random.chance(0.7));
  for (const host of crashed) cluster.crash(host);
  for (const host of crashed) {
    cluster.schedule(cluster.random.between(5, 400), () => cluster.start(host));
  }
}

function crashRandomly(cluster: SimulatedCluster): void {
  const down = cluster.hosts.filter(host => !host.process).length;
  if (down < MAX_HOSTS_DOWN || cluster.random.chance(0.05)) {
    cluster.crash(pickLikelyLeader(cluster));
  }
}

function changeNetworkFaults(cluster: SimulatedCluster): void {
  const {random, faults} = cluster;
  faults.dropProbability = random.pick([0, 0, 0.1, 0.4])!;
  faults.duplicateProbability = random.pick([0, 0.3])!;
  faults.maxDelayMs = random.pick([2, 10, 60, 300])!;
  cluster.maxSyncMs = random.pick([1, 20, 200])!;
}

function injectRandomFault(cluster: SimulatedCluster): void {
  const {random} = cluster;
  const kind = random.below(100);
  if (kind < 12) isolate(cluster, pickLikelyLeader(cluster));
  else if (kind < 28) blockLink(cluster);
  else if (kind < 32) partitionRandomly(cluster);
  else if (kind < 42) crashRandomly(cluster);
  else if (kind < 56) crashSeveral(cluster);
  else if (kind < 66)
    cluster.freeze(pickLikelyLeader(cluster), random.between(50, 2_000));
  else if (kind < 70) cluster.compact(pickHost(cluster));
  else if (kind < 82) changeMembershipRandomly(cluster);
  else if (kind < 88) cluster.transferLeadership(pickLikelyLeader(cluster));
  else if (kind < 90) replaceDiskRandomly(cluster);
  else changeNetworkFaults(cluster);
}

/** Replaces a disk. Spares half of those with data, so that a quorum remains. */
function replaceDiskRandomly(cluster: SimulatedCluster): void {
  const host = pickHost(cluster);
  const isEmptyDisk = host.disk.entries.length === 0 && !host.disk.snapshot;
  if (isEmptyDisk || cluster.random.chance(0.5)) cluster.replaceDisk(host);
}

function repairRandomly(cluster: SimulatedCluster): void {
  const {random, hosts, blockedLinks} = cluster;
  if (random.chance(0.6)) blockedLinks.clear();
  for (const host of hosts) {
    if (!host.process && random.chance(0.5)) cluster.start(host);
  }
}

/** Runs client load: commands on all leaders, even stale ones, and reads. */
function runClients(cluster: SimulatedCluster, forMs: number): void {
  const {random} = cluster;
  const endMs = cluster.nowMs + forMs;
  while (cluster.nowMs < endMs) {
    for (const leader of cluster.leaders()) {
      if (random.chance(0.4)) cluster.submitCommand(leader);
    }
    cluster.run(random.between(1, 40));
    for (const host of cluster.hosts) cluster.readUnderLease(host);
  }
}

/** Forms a group of three by single-server changes, as in a real deployment. */
function formGroup(cluster: SimulatedCluster): void {
  const [first, ...others] = cluster.hosts;
  for (const host of others) cluster.start(host);
  cluster.bootstrap(first!);
  cluster.run(SETTLE_MS);
  for (const host of others.slice(0, 2)) {
    cluster.changeMembership(first!, {
      kind: 'add_learner',
      replica: cluster.replicaOf(host, 'learner'),
    });
    cluster.run(1_000);
    cluster.changeMembership(first!, {kind: 'promote', id: host.replica});
    cluster.run(1_000);
  }
}

function heal(cluster: SimulatedCluster): void {
  cluster.blockedLinks.clear();
  cluster.faults.dropProbability = 0;
  cluster.faults.duplicateProbability = 0;
  cluster.faults.maxDelayMs = 5;
  cluster.maxSyncMs = 5;
  for (const host of cluster.hosts) {
    host.isFrozen = false;
    cluster.start(host);
  }
  cluster.run(HEAL_MS);
}

/** Checks that a healed group with a quorum of disks accepts commands again. */
function checkProgress(cluster: SimulatedCluster): void {
  if (!cluster.hasQuorumOfDisks()) return;
  const countBefore = cluster.checker.operations.length;
  for (const leader of cluster.leaders()) cluster.submitCommand(leader);
  cluster.run(SETTLE_MS);
  const newOperations = cluster.checker.operations.slice(countBefore);
  if (!newOperations.some(operation => operation.completedAtMs !== undefined)) {
    throw new InvariantViolation(
      'a healed group with a quorum completes no command',
    );
  }
}

export function runSchedule(seed: number): ScheduleResult {
  const cluster = new SimulatedCluster(seed, HOST_COUNT);
  formGroup(cluster);
  for (let round = 0; round < ROUNDS; round += 1) {
    const faults = cluster.random.between(1, 3);
    for (let fault = 0; fault < faults; fault += 1) {
      injectRandomFault(cluster);
      runClients(cluster, cluster.random.pick([5, 50, 200])!);
    }
    runClients(cluster, cluster.random.pick([50, 400, 1_500])!);
    repairRandomly(cluster);
  }
  heal(cluster);
  checkProgress(cluster);
  checkLinearizability(cluster.checker);
  const {operations, reads, leaderOfTerm} = cluster.checker;
  return {
    seed,
    commands: operations.length,
    answered: operations.filter(item => item.completedAtMs !== undefined)
      .length,
    reads,
    terms: leaderOfTerm.size,
  };
}
