/**
 * Resume tokens: the ids of the events that callers receive. Each contains the
 * location of the generation, authenticated with the cluster's key, and the
 * sequence number of the event, so that any entry can resume a stream whose entry
 * crashed.
 */
import {z} from 'zod';
import {hmacHex, secretsEqual, type GenerationId} from '@samphirefield/core';
import type {GenerationLocation} from './types.js';

const MAC_CHARACTERS = 32;

const locationSchema = z.object({
  t: z.string(),
  i: z.string(),
  g: z.string(),
  w: z.string(),
  s: z.string(),
});

/** The position from which a stream is resumed. */
export interface ResumePoint {
  readonly location: GenerationLocation;
  readonly nextSequence: number;
}

function computeMac(key: string, text: string): string {
  return hmacHex(key, `resume\n${text}`).slice(0, MAC_CHARACTERS);
}

/** Returns the part of the token that all events of one generation share. */
export function signLocation(
  key: string,
  location: GenerationLocation,
): string {
  const {
    target: t,
    incarnation: i,
    generation: g,
    workspace: w,
    service: s,
  } = location;
  const encoded = Buffer.from(JSON.stringify({t, i, g, w, s})).toString(
    'base64url',
  );
  return `${encoded}.${computeMac(key, encoded)}`;
}

export function createResumeToken(
  signedLocation: string,
  sequence: number,
): string {
  return `${signedLocation}.${sequence}`;
}

/** Returns undefined for a token that was not created with this key. */
export function verifyResumeToken(
  key: string,
  token: string,
): ResumePoint | undefined {
  const [encoded, mac, sequence] = token.split('.');
  if (!encoded || !mac || !/^\d{1,15}$/.test(sequence ?? '')) return undefined;
  if (!secretsEqual(mac, computeMac(key, encoded))) return undefined;
  const parsed = locationSchema.safeParse(
    JSON.parse(Buffer.from(encoded, 'base64url').toString('utf8')),
  );
  if (!parsed.success) return undefined;
  const {t, i, g, w, s} = parsed.data;
  const generation = g as GenerationId;
  const location = {
    target: t,
    incarnation: i,
    generation,
    workspace: w,
    service: s,
  };
  return {location, nextSequence: Number(sequence) + 1};
}
