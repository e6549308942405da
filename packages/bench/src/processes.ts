/** Starts the processes of a benchmark and reads their use of resources. */
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

/** Clock ticks per second of the times in /proc. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const WAIT_MS = 30_000;

export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads the CPU time and the resident memory of a process from /proc. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const residentBytes = Number(fields[21]) * PAGE_BYTES;
  return {cpuSeconds: ticks / TICKS_PER_SECOND, residentBytes};
}

/** Returns a port of 127.0.0.1 that was free at the time of the call. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Polls until `check` returns true; a check that throws counts as false. */
export async function waitFor(
  description: string,
  check: () => Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + WAIT_MS;
  while (Date.now() < deadline) {
    if (await check().catch(() => false)) return;
    await delay(50);
  }
  throw new Error(`timed out waiting for ${description}`);
}

/** The processes of one benchmark run, their logs and files; all end together. */
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

  /** Starts a process and returns the JSON of the first line that it prints. */
  async startAndReadReport<Report>(
    name: string,
    script: string,
    args: readonly string[],
  ): Promise<Report> {
    return this.readReport<Report>(this.start(name, script, args));
  }

  /** Returns the JSON of the first line that a process prints; rejects if it exits first. */
  readReport<Report>(child: ChildProcess): Promise<Report> {
    return new Promise((resolve, reject) => {
      createInterface({input: child.stdout!}).once('line', line =>
        resolve(JSON.parse(line) as Report),
      );
      child.once('exit', code =>
        reject(
          new Error(
            `a process exited with code ${code} before it reported; logs in ${this.folder}`,
          ),
        ),
      );
    });
  }

  writeFile(name: string, text: string): string {
    const file = join(this.folder, name);
    writeFileSync(file, text);
    return file;
  }

  /** Kills every process and removes the folder. */
  async close(): Promise<void> {
    for (const child of this.children) child.kill('SIGKILL');
    await delay(100);
    rmSync(this.folder, {recursive: true, force: true});
  }
}
