/** Starts and measures the processes of a benchmark. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';

/** Clock ticks a second of the times in /proc. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const WAIT_MS = 30_000;

export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Processor time and memory of a process, from /proc. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const residentBytes = Number(fields[21]) * PAGE_BYTES;
  return {cpuSeconds: ticks / TICKS_PER_SECOND, residentBytes};
}

export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

export async function waitFor(
  what: string,
  check: () => Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + WAIT_MS;
  while (Date.now() < deadline) {
    if (await check().catch(() => false)) return;
    await delay(50);
  }
  throw new Error(`never happened: ${what}`);
}

/** The processes of one run, ended together. */
export class ProcessGroup {
  readonly folder = mkdtempSync(join(tmpdir(), 'samphirefield-bench-'));
  private readonly children: ChildProcess[] = [];

  start(name: string, script: string, args: readonly string[]): ChildProcess {
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', log],
    });
    this.children.push(child);
    return child;
  }

  /** Starts a process and waits for the one JSON line that it prints. */
  async startAndReadReport<Report>(
    name: string,
    script: string,
    args: readonly string[],
  ): Promise<Report> {
    return this.readReport<Report>(this.start(name, script, args));
  }

  readReport<Report>(child: ChildProcess): Promise<Report> {
    return new Promise((resolve, reject) => {
      createInterface({input: child.stdout!}).once('line', line =>
        resolve(JSON.parse(line) as Report),
      );
      child.once('exit', code =>
        reject(
          new Error(`a process ended with ${code}; logs in ${this.folder}`),
        ),
      );
    });
  }

  writeFile(name: string, text: string): string {
    const file = join(this.folder, name);
    writeFileSync(file, text);
    return file;
  }

  async close(): Promise<void> {
    for (const child of this.children) child.kill('SIGKILL');
    await delay(100);
    rmSync(this.folder, {recursive: true, force: true});
  }
}
