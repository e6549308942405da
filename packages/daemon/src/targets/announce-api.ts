/** Accepts the announcements of targets on the internal listener. */
import {
  announcementSchema,
  secretsEqual,
  targetId,
  type Logger,
} from '@samphirefield/core';
import {recordCacheEvents} from '@samphirefield/policy';
import type {Clock} from '../clock/index.js';
import type {EntryTables} from '../entry/index.js';
import {NO_MEMORY, readBody, type App} from '../http/index.js';

const MAX_ANNOUNCEMENT_BYTES = 1_048_576;
const RENEW_AFTER_MS = 1_000;

export interface AnnounceApiOptions {
  readonly key: string;
  readonly tables: EntryTables;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called on a change that is to be reported to the leader at once. */
  readonly onUpdate: () => void;
}

export function mountAnnounceApi(app: App, options: AnnounceApiOptions): void {
  const {key, tables, clock, logger, onUpdate} = options;
  app.post('/targets/announce', async context => {
    const presented = context.req.header('authorization') ?? '';
    if (!secretsEqual(presented, `Bearer ${key}`)) {
      return context.json(
        {error: 'the key of targets is missing or wrong'},
        401,
      );
    }
    const body = await readBody(context.env.incoming, MAX_ANNOUNCEMENT_BYTES);
    if (body.isErr()) {
      if (body.error.kind === 'no_memory')
        return context.json({error: NO_MEMORY.message}, 503);
      return body.error.kind === 'too_large'
        ? context.json({error: 'the body is too large'}, 413)
        : context.json({error: 'the body was cut off'}, 400);
    }
    const value = parseJson(body.value.toString('utf8'));
    const parsed = announcementSchema.safeParse(value);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      const where = issue?.path.join('.') ?? '';
      return context.json({error: `${where}: ${issue?.message}`}, 400);
    }
    const announcement = parsed.data;
    const target = targetId(announcement.target);
    const previous = tables.latestAnnouncements.get(target)?.announcement;
    tables.latestAnnouncements.set(target, {
      announcement,
      receivedAtMs: clock.nowMs(),
      isReported: false,
    });
    if (announcement.cache) {
      const {first_seq, events} = announcement.cache;
      recordCacheEvents(tables.prefixCache, target, first_seq, events);
    }
    const isUpdate =
      previous === undefined ||
      previous.incarnation !== announcement.incarnation ||
      previous.is_warm !== announcement.is_warm ||
      previous.leaving_in_ms !== announcement.leaving_in_ms;
    if (isUpdate) {
      logger.info('target_announced', {
        target,
        incarnation: announcement.incarnation,
        service: announcement.service,
        zone: announcement.zone,
        warm: announcement.is_warm,
        leaving_in_ms: announcement.leaving_in_ms,
      });
      onUpdate();
    }
    return context.json({renew_after_ms: RENEW_AFTER_MS});
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
