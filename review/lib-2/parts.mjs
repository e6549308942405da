/** The operator, clients and plain workers of the cases; stand-ins. */
import {createServer, request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

const CALL_TIMEOUT_MS = 1_000;

/** One HTTP call on a connection of its own; status 0: no answer in time. */
export function call({
  host,
  port,
  method,
  path,
  headers = {},
  body = '',
  timeoutMs = CALL_TIMEOUT_MS,
}) {
  return new Promise(done => {
    const req = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {...headers, 'content-length': Buffer.byteLength(body)},
      },
      res => {
        let text = '';
        res.setEncoding('utf8');
        res.on('data', part => (text += part));
        res.on('close', () => {
          clearTimeout(timer);
          done({
            status: res.complete ? res.statusCode : 0,
            headers: res.headers,
            text,
          });
        });
      },
    );
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    req.on('error', () => {
      clearTimeout(timer);
      done({status: 0, headers: {}, text: ''});
    });
    req.end(body);
  });
}

/**
 * The operator: picks among the daemons that serve control, moves on after a
 * failure, a 5xx or a second without a response, with increasing backoff.
 */
export async function order(
  cluster,
  record,
  method,
  path,
  body,
  candidates = cluster.controls,
) {
  const headers =
    body === undefined ? {} : {'content-type': 'application/json'};
  for (let attempt = 0; attempt < 20; attempt += 1) {
    const daemon = candidates[attempt % candidates.length];
    record.note('operator_sends', {method, path, to: daemon.name});
    const {status} = await call({
      host: daemon.host,
      port: cluster.ports.control,
      method,
      path,
      headers,
      body: body ?? '',
    });
    record.note('operator_gets', {method, path, from: daemon.name, status});
    if (status >= 200 && status < 300) return performance.now();
    if ([400, 409, 412, 413, 422].includes(status))
      throw new Error(`${method} ${path} was refused: ${status}`);
    await delay(Math.min(1_000, 20 * 2 ** attempt));
  }
  throw new Error(`${method} ${path} was not acknowledged`);
}

/** A plain worker that runs each request for some time and beats as the page says. */
export class PlainWorker {
  constructor(
    cluster,
    record,
    {id, service, zone, host, slots = 6, workMs = 15, beatMs = 1_200},
  ) {
    Object.assign(this, {
      cluster,
      record,
      id,
      service,
      zone,
      host,
      slots,
      workMs,
      beatMs,
    });
    this.born = Date.now();
    this.seq = 0;
    this.state = 'ready';
    this.runs = [];
    this.running = 0;
  }

  async start() {
    this.server = createServer((req, res) => this.serve(req, res));
    this.server.keepAliveTimeout = 5_000;
    await new Promise(done => this.server.listen(0, this.host, done));
    this.port = this.server.address().port;
    this.beat = setInterval(() => void this.announce(), this.beatMs);
    await this.announce();
  }

  serve(req, res) {
    const attempt = req.headers['x-samphirefield-attempt-id'];
    const parts = [];
    req.on('data', part => parts.push(part));
    req.on('end', async () => {
      if (attempt !== undefined)
        res.setHeader('X-Samphirefield-Attempt-Id', attempt);
      res.setHeader(
        'X-Samphirefield-Server-Load',
        `${this.running},0,${this.slots}`,
      );
      if (req.headers['x-samphirefield-expect-instance'] !== this.id) {
        res.setHeader('X-Samphirefield-Not-Executed', '1');
        res.writeHead(421).end();
        return;
      }
      this.runs.push({attempt, atMs: performance.now(), path: req.url});
      this.running += 1;
      await delay(this.workMs);
      this.running -= 1;
      res.setHeader(
        'X-Samphirefield-Server-Stamp',
        `${this.id}.${this.runs.length}`,
      );
      res.end(`${this.id} ${attempt}`);
    });
  }

  async announce() {
    this.seq += 1;
    const body = JSON.stringify({
      Service: this.service,
      Addr: `${this.host}:${this.port}`,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.slots,
      State: this.state,
      ColdLeftMs: 0,
      Seq: this.seq,
      born: this.born,
    });
    const {controls} = this.cluster;
    const first = Math.floor(Math.random() * controls.length);
    for (let i = 0; i < controls.length; i += 1) {
      const {host} = controls[(first + i) % controls.length];
      const {status} = await call({
        host,
        port: this.cluster.ports.control,
        method: 'PUT',
        path: `/samphirefield/instances/${this.id}`,
        headers: {'content-type': 'application/json'},
        body,
      });
      if (status >= 200 && status < 300)
        return controls[(first + i) % controls.length].name;
    }
    return undefined;
  }

  stop() {
    clearInterval(this.beat);
    this.server.closeAllConnections();
    this.server.close();
  }
}

let attempts = 0;

/** One client attempt with an id of its own. */
export async function send(
  cluster,
  entry,
  {
    path,
    host = 'a.example',
    method = 'GET',
    deadlineMs = 2_500,
    key,
    body = '',
  },
) {
  attempts += 1;
  const id = `a${attempts}`;
  const headers = {
    host,
    'x-samphirefield-attempt-id': id,
    'x-samphirefield-deadline-ms': String(deadlineMs),
    ...(key && {authorization: `Token ${key}`}),
  };
  const answer = await call({
    host: entry.host,
    port: cluster.ports.front,
    method,
    path,
    headers,
    body,
    timeoutMs: deadlineMs,
  });
  return {id, ...answer};
}

export function configuration(version, extra = {}) {
  return JSON.stringify({
    Version: version,
    Routes: [
      {
        Name: 'r-read',
        Host: 'a.example',
        PathPrefix: '/read/',
        Kind: 'safe',
        TimeoutMs: 2_500,
        SloMs: 150,
        Priority: 2,
        Service: 's-plain',
        Attempts: 2,
        Public: false,
        Sticky: false,
        Resumable: false,
        GapTargetMs: 0,
      },
      {
        Name: 'r-write',
        Host: 'a.example',
        PathPrefix: '/write/',
        Kind: 'unsafe',
        TimeoutMs: 2_500,
        SloMs: 150,
        Priority: 2,
        Service: 's-plain',
        Attempts: 2,
        Public: false,
        Sticky: false,
        Resumable: false,
        GapTargetMs: 0,
      },
    ],
    Services: [
      {
        Name: 's-plain',
        HealthPath: '/healthz',
        MaxConns: 110,
        Protocol: 'h1',
        Tls: false,
        ColdS: 0,
        ColdPerS: 0,
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 't-1', ApiKeys: ['k-1'], Priority: 1}],
    ...extra,
  });
}
