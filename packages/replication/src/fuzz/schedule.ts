/** Runs one random schedule of faults against a cluster, and checks it. */
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

const HOSTS = 5;
/** Rounds of faults in one schedule. */
const ROUNDS = 30;
/** Most hosts that are down at once, in most schedules. */
const MAX_DOWN = 2;
const SETTLE_MS = 3_000;
const HEAL_MS = 12_000;
const MAX_REPLICA_LAG = 4;

function anyHost(cluster: SimulatedCluster): Host {
  return cluster.random.pick(cluster.hosts)!;
}

function blockRandomly(cluster: SimulatedCluster): void {
  const {random, hosts, blockedLinks: blocked} = cluster;
  const isInside = hosts.map(() => random.chance(0.5));
  hosts.forEach((from, i) => {
    hosts.forEach((to, j) => {
      const isCut = isInside[i] !== isInside[j];
      // Some cuts work in one direction only.
      if (isCut && random.chance(0.9)) blocked.add(`${from.name}>${to.name}`);
    });
  });
}

function changeRandomly(cluster: SimulatedCluster): void {
  const leader = cluster.random.pick(cluster.leaders());
  if (!leader?.process) return;
  const {raft} = leader.process;
  const members = currentMembership(raft).replicas;
  const outsider = cluster.random.pick(
    cluster.hosts.filter(
      host => host.process && !members.some(m => m.id === host.replica),
    ),
  );
  const learner = cluster.random.pick(
    members.filter(member => member.role === 'learner'),
  );
  const isReady = (id: ReplicaId) =>
    lastIndex(raft.log) - (raft.progress.get(id)?.matchIndex ?? 0) <
    MAX_REPLICA_LAG;
  if (learner && isReady(learner.id) && cluster.random.chance(0.6)) {
    cluster.changeMembership(leader, {kind: 'promote', id: learner.id});
  } else if (outsider && cluster.random.chance(0.6)) {
    cluster.changeMembership(leader, {
      kind: 'add_learner',
      replica: cluster.replicaOf(outsider, 'learner'),
    });
  } else {
    const victim = cluster.random.pick(members);
    if (victim && members.length > 2)
      cluster.changeMembership(leader, {kind: 'remove', id: victim.id});
  }
}

/** Cuts one host off from all others, in both directions or in one. */
function isolate(cluster: SimulatedCluster, host: Host): void {
  const isOneWay = cluster.random.chance(0.2);
  for (const other of cluster.hosts) {
    if (other === host) continue;
    cluster.blockedLinks.add(`${host.name}>${other.name}`);
    if (!isOneWay) cluster.blockedLinks.add(`${other.name}>${host.name}`);
  }
}

/** The leader more often than not: its faults are the hard ones. */
function likelyLeader(cluster: SimulatedCluster): Host {
  const leader = cluster.random.pick(cluster.leaders());
  return leader && cluster.random.chance(0.7) ? leader : anyHost(cluster);
}

/** Cuts the link between two hosts that both still reach the others. */
function cutLink(cluster: SimulatedCluster): void {
  const one = likelyLeader(cluster);
  const other = anyHost(cluster);
  cluster.blockedLinks.add(`${one.name}>${other.name}`);
  cluster.blockedLinks.add(`${other.name}>${one.name}`);
}

/** Takes several hosts down in one moment, and up again soon. */
function failPower(cluster: SimulatedCluster): void {
  const hit = cluster.hosts.filter(() => cluster.random.chance(0.7));
  for (const host of hit) cluster.crash(host);
  for (const host of hit) {
    cluster.schedule(cluster.random.between(5, 400), () => cluster.start(host));
  }
}

function crashRandomly(cluster: SimulatedCluster): void {
  const down = cluster.hosts.filter(host => !host.process).length;
  if (down < MAX_DOWN || cluster.random.chance(0.05)) {
    cluster.crash(likelyLeader(cluster));
  }
}

function shakeNetwork(cluster: SimulatedCluster): void {
  const {random, faults} = cluster;
  faults.dropProbability = random.pick([0, 0, 0.1, 0.4])!;
  faults.duplicateProbability = random.pick([0, 0.3])!;
  faults.maxDelayMs = random.pick([2, 10, 60, 300])!;
  cluster.maxSyncMs = random.pick([1, 20, 200])!;
}

function faultRandomly(cluster: SimulatedCluster): void {
  const {random} = cluster;
  const kind = random.below(100);
  if (kind < 12) isolate(cluster, likelyLeader(cluster));
  else if (kind < 28) cutLink(cluster);
  else if (kind < 32) blockRandomly(cluster);
  else if (kind < 42) crashRandomly(cluster);
  else if (kind < 56) failPower(cluster);
  else if (kind < 66)
    cluster.freeze(likelyLeader(cluster), random.between(50, 2_000));
  else if (kind < 70) cluster.compact(anyHost(cluster));
  else if (kind < 82) changeRandomly(cluster);
  else if (kind < 88) cluster.transferLeadership(likelyLeader(cluster));
  else if (kind < 90) wipeRandomly(cluster);
  else shakeNetwork(cluster);
}

/** Mostly spares the quorum's disks, so that the schedule goes on. */
function wipeRandomly(cluster: SimulatedCluster): void {
  const host = anyHost(cluster);
  const isSpare = host.disk.entries.length === 0 && !host.disk.snapshot;
  if (isSpare || cluster.random.chance(0.5)) cluster.replaceDisk(host);
}

function mendRandomly(cluster: SimulatedCluster): void {
  const {random, hosts, blockedLinks: blocked} = cluster;
  if (random.chance(0.6)) blocked.clear();
  for (const host of hosts) {
    if (!host.process && random.chance(0.5)) cluster.start(host);
  }
}

/** Lets clients work on every host that believes to lead, stale or not. */
function workFor(cluster: SimulatedCluster, forMs: number): void {
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

/** Forms a group of three by single changes, as a real one grows. */
function growGroup(cluster: SimulatedCluster): void {
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

/** With a quorum's disks intact, a healed group has to take commands again. */
function checkProgress(cluster: SimulatedCluster): void {
  if (!cluster.hasQuorumOfDisks()) return;
  const before = cluster.checker.operations.length;
  for (const leader of cluster.leaders()) cluster.submitCommand(leader);
  cluster.run(SETTLE_MS);
  const fresh = cluster.checker.operations.slice(before);
  if (!fresh.some(operation => operation.completedAtMs !== undefined)) {
    throw new InvariantViolation(
      'a healed group with a quorum takes no commands',
    );
  }
}

export function runSchedule(seed: number): ScheduleResult {
  const cluster = new SimulatedCluster(seed, HOSTS);
  growGroup(cluster);
  for (let round = 0; round < ROUNDS; round += 1) {
    const faults = cluster.random.between(1, 3);
    for (let fault = 0; fault < faults; fault += 1) {
      faultRandomly(cluster);
      workFor(cluster, cluster.random.pick([5, 50, 200])!);
    }
    workFor(cluster, cluster.random.pick([50, 400, 1_500])!);
    mendRandomly(cluster);
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
