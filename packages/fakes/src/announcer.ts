/** Sends a fake target's announcements to the first daemon that accepts them. */
import {request} from 'undici';
import type {Announcement} from '@samphirefield/core';

export interface AnnouncerOptions {
  /** Base URLs of the daemons' internal listeners, tried in turn. */
  readonly daemons: readonly string[];
  readonly key: string;
  readonly intervalMs: number;
  readonly build: () => Announcement;
}

const ATTEMPT_TIMEOUT_MS = 1_000;

export class Announcer {
  private timer: NodeJS.Timeout | undefined;
  private nextDaemonIndex = 0;
  private isStopped = false;

  constructor(private readonly options: AnnouncerOptions) {}

  start(): void {
    void this.loop();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Sends one announcement now, in addition to the periodic ones. */
  async announce(): Promise<void> {
    const {daemons, key, build} = this.options;
    for (let attempts = 0; attempts < daemons.length; attempts += 1) {
      const url = daemons[this.nextDaemonIndex % daemons.length]!;
      try {
        const response = await request(`${url}/targets/announce`, {
          method: 'POST',
          headers: {
            authorization: `Bearer ${key}`,
            'content-type': 'application/json',
          },
          body: JSON.stringify(build()),
          signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
        });
        await response.body.dump();
        if (response.statusCode === 200) return;
      } catch {
        // The next daemon may accept the announcement.
      }
      this.nextDaemonIndex += 1;
    }
  }

  private async loop(): Promise<void> {
    await this.announce();
    if (this.isStopped) return;
    this.timer = setTimeout(() => void this.loop(), this.options.intervalMs);
  }
}
