/** Announces a fake target to whichever daemon takes it. */
import {request} from 'undici';
import type {Announcement} from '@samphirefield/core';

export interface AnnouncerOptions {
  /** Base URLs of the daemons' internal listeners, tried in turn. */
  readonly daemons: readonly string[];
  readonly key: string;
  readonly intervalMs: number;
  readonly build: () => Announcement;
}

const TIMEOUT_MS = 1_000;

export class Announcer {
  private timer: NodeJS.Timeout | undefined;
  private next = 0;
  private isStopped = false;

  constructor(private readonly options: AnnouncerOptions) {}

  start(): void {
    void this.loop();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Announces once now, besides the regular interval. */
  async announce(): Promise<void> {
    const {daemons, key, build} = this.options;
    for (let tries = 0; tries < daemons.length; tries += 1) {
      const url = daemons[this.next % daemons.length]!;
      try {
        const response = await request(`${url}/targets/announce`, {
          method: 'POST',
          headers: {
            authorization: `Bearer ${key}`,
            'content-type': 'application/json',
          },
          body: JSON.stringify(build()),
          signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        await response.body.dump();
        if (response.statusCode === 200) return;
      } catch {
        // The next daemon may take it.
      }
      this.next += 1;
    }
  }

  private async loop(): Promise<void> {
    await this.announce();
    if (this.isStopped) return;
    this.timer = setTimeout(() => void this.loop(), this.options.intervalMs);
  }
}
