/**
 * The processes under test: starts them with settings of their own, sends their
 * connections through links, and ends them by id.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {
  closeSync,
  fstatSync,
  openSync,
  rmSync,
  statSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import type {Link} from './proxy.js';
import type {Address, DaemonSettings, SoakDialect} from './types.js';

const HEAP_MB = 180;
const RESTART_MS = 200;

/** One address that a daemon connects to, and the link that leads there. */
export interface RoutedLink {
  readonly to: Address;
  readonly link: Link;
}

const silenceMark = (folder: string, port: number) =>
  join(folder, `silent-${port}`);

/** Tells the processes whether the link with this port is silent. */
export function markSilence(
  folder: string,
  port: number,
  isSilent: boolean,
): void {
  if (isSilent) writeFileSync(silenceMark(folder, port), '');
  else rmSync(silenceMark(folder, port), {force: true});
}

/**
 * Source of a module that runs in a process before its program: connections to
 * the routed addresses are made to their links. While a link is marked as silent
 * they neither open nor fail, as behind a network that drops packets.
 */
function connectThrough({links, folder}: DaemonOptions): string {
  const ports = Object.fromEntries(
    links.map(({to, link}) => [`${to.host}:${to.port}`, link.port]),
  );
  return `
    import {existsSync} from 'node:fs';
    import net from 'node:net';
    const silenceMark = ${JSON.stringify(silenceMark(folder, 0).slice(0, -1))};
    const ports = ${JSON.stringify(ports)};
    const connect = net.Socket.prototype.connect;
    net.Socket.prototype.connect = function (...args) {
      const isList = Array.isArray(args[0]);
      const options = isList ? args[0][0] : args[0];
      const linkPort = ports[options?.host + ':' + options?.port];
      if (linkPort === undefined) return connect.apply(this, args);
      if (existsSync(silenceMark + linkPort)) {
        this.connecting = true;
        return this;
      }
      const routed = {...options, host: '127.0.0.1', port: linkPort};
      if (!isList) return connect.apply(this, [routed, ...args.slice(1)]);
      const list = Object.assign([...args[0]], {0: routed});
      for (const symbol of Object.getOwnPropertySymbols(args[0]))
        list[symbol] = args[0][symbol];
      return connect.apply(this, [list]);
    };
  `;
}

export interface DaemonOptions {
  readonly dialect: SoakDialect;
  /** Path of the program at the first start. */
  readonly program: string;
  readonly settings: Omit<DaemonSettings, 'isFirstStart'>;
  readonly links: readonly RoutedLink[];
  readonly folder: string;
  /** Called when the process has ended by itself; it is started again. */
  readonly onOwnEnd: (reason: string) => void;
}

export class Daemon {
  /** Path of the program at the next start. */
  program: string;
  private child: ChildProcess | undefined;
  private hasStarted = false;
  private isEnding = false;
  private logBytesAtStart = 0;
  private exited: Promise<void> = Promise.resolve();

  constructor(readonly options: DaemonOptions) {
    this.program = options.program;
  }

  get isRunning(): boolean {
    return this.child !== undefined && !this.isEnding;
  }

  get name(): string {
    return this.options.settings.name;
  }

  get logPath(): string {
    return join(this.options.folder, `${this.name}.log`);
  }

  start(): void {
    const {dialect, settings, folder, onOwnEnd} = this.options;
    const settingsPath = join(folder, `${this.name}.toml`);
    const isFirstStart = !this.hasStarted;
    writeFileSync(
      settingsPath,
      dialect.settingsText({...settings, isFirstStart}),
    );
    this.hasStarted = true;
    this.isEnding = false;
    const source = encodeURIComponent(connectThrough(this.options));
    const log = openSync(this.logPath, 'a');
    this.logBytesAtStart = fstatSync(log).size;
    const child = spawn(
      process.execPath,
      [
        `--max-old-space-size=${HEAP_MB}`,
        '--import',
        `data:text/javascript,${source}`,
        this.program,
      ],
      {
        env: {
          PATH: process.env['PATH'],
          [dialect.settingsVariable]: settingsPath,
        },
        stdio: ['ignore', log, log],
      },
    );
    closeSync(log);
    this.child = child;
    this.exited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        this.child = undefined;
        resolve();
        if (this.isEnding) return;
        onOwnEnd(`${this.name} ended by itself: ${code ?? signal}`);
        setTimeout(() => {
          if (this.child === undefined && !this.isEnding) this.start();
        }, RESTART_MS);
      });
    });
  }

  signal(signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.child?.kill(signal);
  }

  /** Says that the settings have changed, once the program has begun to run. */
  reload(): void {
    const hasBegun = statSync(this.logPath).size > this.logBytesAtStart;
    if (hasBegun) this.child?.kill('SIGHUP');
  }

  /** Resolves when the process is gone; kills it after the grace period. */
  async stop(graceMs: number): Promise<void> {
    const {child} = this;
    this.isEnding = true;
    child?.kill('SIGTERM');
    const timer = setTimeout(() => child?.kill('SIGKILL'), graceMs);
    await this.exited;
    clearTimeout(timer);
  }

  async kill(): Promise<void> {
    this.isEnding = true;
    this.child?.kill('SIGKILL');
    await this.exited;
  }

  lastLines(count: number): string {
    const lines = readFileSync(this.logPath, 'utf8').trimEnd().split('\n');
    return lines.slice(-count).join('\n');
  }
}
