/**
 * A stand-in for a model worker: streams events, copies the memory of a run to
 * another worker on order, and continues a run from such a copy. Copies take as
 * long as the page says: KvTokenBytes a token over LinkMbps, one after another
 * on the links of both ends, twice as long between zones.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {createServer} from 'node:http';
import {PlainWorker} from './parts.mjs';

export const ENGINE = {
  Slots: 32,
  KvCapacity: 34_330,
  KvTokenBytes: 131_072,
  LinkMbps: 19_000,
  Moves: true,
  Backups: true,
  Stride: 4,
  most: 12,
  PinMs: 4_000,
  HoldMs: 2_000,
  HandleS: 5,
  Models: [{Name: 'm'}],
};
const MS_PER_TOKEN = (ENGINE.KvTokenBytes * 8) / (ENGINE.LinkMbps * 1_000);
const EVENT_EVERY_MS = 30;
const STAMP = 'X-Samphirefield-Server-Stamp';

/** All engines of a case, by address, which know each other's links. */
export class EngineWorker extends PlainWorker {
  constructor(cluster, record, options) {
    super(cluster, record, {slots: ENGINE.Slots, ...options});
    this.peers = options.peers;
    this.active = new Map();
    this.copies = new Map();
    this.arrivals = [];
    this.linkFreeAtMs = 0;
    this.handles = 0;
    this.isGone = false;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async start() {
    this.server = createServer((req, res) => this.serve(req, res));
    this.server.keepAliveTimeout = 5_000;
    await new Promise(done => this.server.listen(0, this.host, done));
    this.port = this.server.address().port;
    this.peers.set(this.address, this);
    this.beat = setInterval(() => void this.announce(), this.beatMs);
    await this.announce();
  }

  serve(req, res) {
    const parts = [];
    req.on('data', part => parts.push(part));
    req.on('end', () => {
      const body = Buffer.concat(parts).toString();
      if (req.url === '/samphirefield/kv-move')
        void this.move(JSON.parse(body), res);
      else if (req.url.startsWith('/samphirefield/kv-handle/'))
        this.drop(decodeURIComponent(req.url.split('/').at(-1)), res);
      else if (req.url.startsWith('/samphirefield/')) res.writeHead(404).end();
      else this.run(req, res);
    });
  }

  run(req, res) {
    const attempt = req.headers['x-samphirefield-attempt-id'];
    res.setHeader('X-Samphirefield-Attempt-Id', attempt);
    const refuse = (status, reason) => {
      this.record.note('worker_refuses', {
        worker: this.id,
        attempt,
        status,
        reason,
      });
      res.setHeader('X-Samphirefield-Not-Executed', '1');
      res.writeHead(status).end();
    };
    if (req.headers['x-samphirefield-expect-instance'] !== this.id)
      return refuse(421, 'another_instance');
    const from = req.headers['kv-from'];
    this.arrivals.push({attempt, atMs: performance.now(), from});
    this.record.note('request_arrives', {worker: this.id, attempt, from});
    const [prompt] = req.headers['x-samphirefield-token-count']
      .split(',')
      .map(Number);
    let run;
    if (from === undefined) {
      run = {
        attempt,
        prompt,
        made: 0,
        total: Number(req.headers['x-test-events']),
      };
    } else {
      run = this.copies.get(from);
      this.copies.delete(from);
      if (run === undefined) return refuse(503, 'no_copy');
    }
    const next = Number(req.headers['last-event-id'] ?? -1) + 1;
    this.record.note('run_begins', {worker: this.id, attempt, next});
    const state = {
      attempt,
      prompt,
      total: run.total,
      made: next,
      res,
      isStopped: false,
      copied: new Map(),
    };
    this.active.set(attempt, state);
    res.setHeader('Content-Type', 'text/event-stream');
    res.setHeader(STAMP, `${this.id}.${attempt}`);
    res.on('close', () => {
      if (!state.isStopped && this.active.get(attempt) === state) {
        this.active.delete(attempt);
        this.record.note('run_ends', {
          worker: this.id,
          attempt,
          made: state.made,
          whole: state.made >= state.total,
        });
      }
    });
    void this.generate(state);
    return undefined;
  }

  async generate(state) {
    let dueAtMs = performance.now();
    while (
      !state.isStopped &&
      !state.res.destroyed &&
      state.made < state.total
    ) {
      state.res.write(
        `id: ${state.made}\ndata: ${state.attempt}-${state.made}\n\n`,
      );
      state.made += 1;
      dueAtMs += EVENT_EVERY_MS;
      await delay(Math.max(0, dueAtMs - performance.now()));
    }
    if (!state.isStopped && !state.res.destroyed) state.res.end();
  }

  /** Waits until a copy of so many tokens has passed both links. */
  async transfer(target, tokens) {
    const ms = tokens * MS_PER_TOKEN * (target.zone === this.zone ? 1 : 2);
    const beginMs = Math.max(
      performance.now(),
      this.linkFreeAtMs,
      target.linkFreeAtMs,
    );
    const endMs = beginMs + ms;
    this.linkFreeAtMs = endMs;
    target.linkFreeAtMs = endMs;
    await delay(endMs - performance.now());
  }

  async move({Id, Target, Last}, res) {
    const answer = (status, body) => {
      this.record.note('copy_answered', {
        worker: this.id,
        attempt: Id,
        last: Last === true,
        status,
      });
      if (!res.destroyed)
        res
          .writeHead(status, {'content-type': 'application/json'})
          .end(JSON.stringify(body));
    };
    const run = this.active.get(Id);
    const target = this.peers.get(Target);
    if (run === undefined) return answer(404, {});
    if (run.isBeingCopied) return answer(409, {});
    run.isBeingCopied = true;
    this.onCopy?.(run, target, Last === true);
    this.record.note('copy_begins', {
      worker: this.id,
      attempt: Id,
      to: target?.id,
      last: Last === true,
    });
    run.handle ??= String((this.handles += 1));
    if (Last) {
      run.isStopped = true;
      run.res.destroy();
    }
    const all = run.prompt + run.made * ENGINE.Stride;
    const made = run.made;
    if (target === undefined || target.isGone) {
      run.isBeingCopied = false;
      return this.keepStopped(run, Last, answer);
    }
    await this.transfer(target, all - (run.copied.get(Target) ?? 0));
    run.isBeingCopied = false;
    if (target.isGone) return this.keepStopped(run, Last, answer);
    run.copied.set(Target, all);
    if (Last) {
      this.active.delete(Id);
      target.copies.set(`${this.address}/${run.handle}`, {total: run.total});
    }
    return answer(200, {Handle: run.handle, made});
  }

  keepStopped(run, isLast, answer) {
    if (isLast)
      this.copies.set(`${this.address}/${run.handle}`, {total: run.total});
    return answer(503, isLast ? {Handle: run.handle} : {});
  }

  drop(handle, res) {
    for (const peer of this.peers.values())
      peer.copies.delete(`${this.address}/${handle}`);
    res.writeHead(200).end();
  }

  /** Says that it leaves; resolves with when that was acknowledged. */
  async drain() {
    this.state = 'draining';
    const by = await this.announce();
    const atMs = performance.now();
    this.drainAckedAtMs = atMs;
    this.record.note('drain_acknowledged', {worker: this.id, by});
    return atMs;
  }

  async leave(afterMs) {
    await delay(afterMs);
    clearInterval(this.beat);
    this.isGone = true;
    this.record.note('worker_exits', {
      worker: this.id,
      running: this.active.size,
    });
    this.server.closeAllConnections();
    this.server.close();
  }
}
