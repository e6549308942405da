/**
 * Decides whether a request may be sent: at once, as a trial of what is
 * quarantined, alone because it is watched, or not now.
 */
import type {Fingerprint, ServiceId} from '@samphirefield/core';
import {beginSolo, msUntilSolo, type SoloTable} from './solo.js';
import {beginTrial, msUntilTrial, type TrialTable} from './trials.js';
import type {QuarantineView} from './types.js';

export type Admission =
  | {readonly kind: 'clear'}
  /** The request is the trial of the quarantined suspects that it holds. */
  | {readonly kind: 'trial'; readonly suspects: readonly Fingerprint[]}
  /** No other watched request runs on the service until this one has ended. */
  | {readonly kind: 'solo'; readonly suspects: readonly Fingerprint[]}
  /** Another watched request runs. */
  | {readonly kind: 'busy'; readonly retryAfterMs: number}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

export interface AdmissionTables {
  readonly trials: TrialTable;
  readonly solos: SoloTable;
}

export interface SuspectRequest {
  readonly service: ServiceId;
  /** What the request consists of. */
  readonly fingerprints: readonly Fingerprint[];
}

/** What of a request is quarantined or watched. */
export interface KnownSuspects {
  readonly quarantined: readonly Fingerprint[];
  readonly watched: readonly Fingerprint[];
}

export function findKnown(
  {fingerprints}: Pick<SuspectRequest, 'fingerprints'>,
  view: Pick<QuarantineView, 'quarantined' | 'watched'>,
): KnownSuspects {
  const quarantined = new Set(view.quarantined.map(row => row.fingerprint));
  const watched = new Set(view.watched);
  return {
    quarantined: fingerprints.filter(item => quarantined.has(item)),
    watched: fingerprints.filter(item => watched.has(item)),
  };
}

/** Time until a request with these quarantined suspects may be a trial. */
export function refusalMs(
  suspects: readonly Fingerprint[],
  trials: TrialTable,
  nowMs: number,
): number | undefined {
  const waitsMs = suspects.map(item => msUntilTrial(trials, item, nowMs));
  return Math.max(0, ...waitsMs) || undefined;
}

/** Decides right before a request is sent; begins its trial or its solo run. */
export function admit(
  {trials, solos}: AdmissionTables,
  {service}: Pick<SuspectRequest, 'service'>,
  {quarantined, watched}: KnownSuspects,
  nowMs: number,
): Admission {
  const retryAfterMs = refusalMs(quarantined, trials, nowMs);
  if (retryAfterMs !== undefined) return {kind: 'refused', retryAfterMs};
  const suspects = quarantined.length > 0 ? quarantined : watched;
  if (suspects.length === 0) return {kind: 'clear'};
  if (!beginSolo(solos, service, suspects, nowMs)) {
    return {kind: 'busy', retryAfterMs: msUntilSolo(solos, service, nowMs)};
  }
  for (const item of quarantined) beginTrial(trials, item, nowMs);
  return {kind: quarantined.length > 0 ? 'trial' : 'solo', suspects};
}
