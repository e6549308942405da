/**
 * Resume tokens: the ids of the events that callers get. Each names the place
 * of the generation, sealed with the cluster's key, and the event's number, so
 * that any entry can go on with a stream whose entry died.
 */
import {z} from 'zod';
import {hmacHex, secretsEqual, type GenerationId} from '@samphirefield/core';
import type {GenerationPlace} from './types.js';

const SEAL_CHARACTERS = 32;

const placeSchema = z.object({
  t: z.string(),
  i: z.string(),
  g: z.string(),
  w: z.string(),
  s: z.string(),
});

export interface ResumePoint {
  readonly place: GenerationPlace;
  readonly nextSequence: number;
}

function seal(key: string, text: string): string {
  return hmacHex(key, `resume\n${text}`).slice(0, SEAL_CHARACTERS);
}

/** The part of the token that all events of one generation share. */
export function sealPlace(key: string, place: GenerationPlace): string {
  const {
    target: t,
    incarnation: i,
    generation: g,
    workspace: w,
    service: s,
  } = place;
  const text = Buffer.from(JSON.stringify({t, i, g, w, s})).toString(
    'base64url',
  );
  return `${text}.${seal(key, text)}`;
}

export function eventToken(sealedPlace: string, sequence: number): string {
  return `${sealedPlace}.${sequence}`;
}

/** Returns undefined for a token that was not made with this key. */
export function openToken(key: string, token: string): ResumePoint | undefined {
  const [text, found, sequence] = token.split('.');
  if (!text || !found || !/^\d{1,15}$/.test(sequence ?? '')) return undefined;
  if (!secretsEqual(found, seal(key, text))) return undefined;
  const parsed = placeSchema.safeParse(
    JSON.parse(Buffer.from(text, 'base64url').toString('utf8')),
  );
  if (!parsed.success) return undefined;
  const {t, i, g, w, s} = parsed.data;
  const generation = g as GenerationId;
  const place = {
    target: t,
    incarnation: i,
    generation,
    workspace: w,
    service: s,
  };
  return {place, nextSequence: Number(sequence) + 1};
}
