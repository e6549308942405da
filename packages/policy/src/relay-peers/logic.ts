/**
 * Chooses the entries through which each entry relays requests that it cannot
 * send to a target itself. Rendezvous hashing spreads the entries evenly, and
 * keeps the choice while other entries come and go. Designed for 550 entries in
 * 16 zones: a choice for all of them compares each pair once.
 */
import type {InstanceId, ZoneId} from '@samphirefield/core';
import type {RelayMember, RelayPeerCounts} from './types.js';

/**
 * The first peers are in the entry's own zone, which is near. The others are in
 * as many zones as possible, for a zone in which all entries are cut off.
 */
export const RELAY_PEER_COUNTS: RelayPeerCounts = {sameZone: 2, otherZones: 4};

interface Scored<Member> {
  readonly member: Member;
  readonly score: number;
}

interface Hashed<Member> {
  readonly member: Member;
  readonly hash: number;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The 32-bit FNV-1a hash; names of instances are short. */
function hashName(name: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < name.length; i += 1)
    hash = Math.imul(hash ^ name.charCodeAt(i), FNV_PRIME);
  return hash >>> 0;
}

/** The finalizer of MurmurHash3: spreads each bit over all of the result. */
function mix32(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Differs for the two directions of a pair. */
function scorePair(from: number, to: number): number {
  return mix32(mix32(from) ^ to);
}

/** Adds an item to the best ones, which are in order, best first. */
function keepBest<Member>(
  best: Scored<Member>[],
  item: Scored<Member>,
  count: number,
): void {
  const position = best.findIndex(({score}) => score < item.score);
  best.splice(position < 0 ? best.length : position, 0, item);
  best.length = Math.min(best.length, count);
}

/** Takes the best of each zone, then the second best of each, and so on. */
function takeByTurns<Member>(
  zones: readonly (readonly Scored<Member>[])[],
  count: number,
): Member[] {
  const ranked = zones.flatMap(best =>
    best.map(({member, score}, rank) => ({member, score, rank})),
  );
  ranked.sort((a, b) => a.rank - b.rank || b.score - a.score);
  return ranked.slice(0, count).map(({member}) => member);
}

function choosePeers<Member extends RelayMember>(
  self: Hashed<Member>,
  byZone: ReadonlyMap<ZoneId, readonly Hashed<Member>[]>,
  {sameZone, otherZones}: RelayPeerCounts,
): Member[] {
  let near: Member[] = [];
  const far: Scored<Member>[][] = [];
  for (const [zone, members] of byZone) {
    const isOwnZone = zone === self.member.zone;
    const count = isOwnZone ? sameZone : otherZones;
    const best: Scored<Member>[] = [];
    for (const other of members) {
      if (other === self) continue;
      const score = scorePair(self.hash, other.hash);
      const worst = best[count - 1];
      if (worst === undefined || score > worst.score)
        keepBest(best, {member: other.member, score}, count);
    }
    if (isOwnZone) near = best.map(({member}) => member);
    else far.push(best);
  }
  return [...near, ...takeByTurns(far, otherZones)];
}

/** Chooses the peers of every member, in the order of preference. */
export function assignRelayPeers<Member extends RelayMember>(
  members: readonly Member[],
  counts = RELAY_PEER_COUNTS,
): Map<InstanceId, readonly Member[]> {
  const hashed = members.map(member => ({
    member,
    hash: hashName(member.instance),
  }));
  const byZone = new Map<ZoneId, Hashed<Member>[]>();
  for (const item of hashed) {
    const {zone} = item.member;
    const inZone = byZone.get(zone) ?? [];
    byZone.set(zone, inZone);
    inZone.push(item);
  }
  return new Map(
    hashed.map(self => [
      self.member.instance,
      choosePeers(self, byZone, counts),
    ]),
  );
}
