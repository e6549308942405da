/** Calls to the control daemons: the operator's, and the targets' heartbeats. */
import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {pick, type Draw} from './schedule.js';
import type {
  Address,
  ConfigChoice,
  ConfigRecord,
  ControlCall,
  ReadRecord,
  SoakDialect,
} from './types.js';

const TIMEOUT_MS = 1_000;
const RETRY_MS = 100;
const OK_STATUS = 200;

export interface ControlAnswer {
  readonly status: number;
  readonly text: string;
}

/** Calls the daemons one after another until one confirms; false: none did. */
export type ControlCaller = (call: ControlCall) => Promise<boolean>;

/** Sends one call; undefined if there is no answer in time. */
export function callControl(
  address: Address,
  {method, path, body = ''}: ControlCall,
): Promise<ControlAnswer | undefined> {
  return new Promise(resolve => {
    const req = request({...address, method, path, agent: false}, res => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', (part: string) => (text += part));
      res.on('close', () => {
        clearTimeout(timer);
        resolve(res.complete ? {status: res.statusCode ?? 0, text} : undefined);
      });
    });
    const timer = setTimeout(() => req.destroy(), TIMEOUT_MS);
    req.on('error', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    req.end(body);
  });
}

export function createControlCaller(
  addresses: readonly Address[],
  draw: Draw,
): ControlCaller {
  return async call => {
    const first = draw(0, addresses.length - 1);
    for (let i = 0; i < addresses.length; i += 1) {
      const address = addresses[(first + i) % addresses.length]!;
      const answer = await callControl(address, call);
      if (answer?.status === OK_STATUS) return true;
    }
    return false;
  };
}

export class Operator {
  readonly configs: ConfigRecord[] = [];
  readonly reads: ReadRecord[] = [];
  private version = 0;

  constructor(
    private readonly dialect: SoakDialect,
    private readonly addresses: readonly Address[],
    private readonly draw: Draw,
    private readonly control: ControlCaller,
  ) {}

  /** Sends a new configuration until it is accepted, or `isOver`. */
  async changeConfig(
    choice: Omit<ConfigChoice, 'version'>,
    isOver: () => boolean,
  ): Promise<void> {
    this.version += this.draw(1, 5);
    const text = this.dialect.configText({...choice, version: this.version});
    const config: ConfigRecord = {
      version: this.version,
      text,
      plainService: choice.plainService,
      spareRoutes: choice.spareRoutes,
      acceptedAtMs: undefined,
    };
    this.configs.push(config);
    if (await this.order(this.dialect.writeConfig(text), isOver))
      config.acceptedAtMs = performance.now();
  }

  setZone(zone: string, isOut: boolean, isOver: () => boolean) {
    return this.order(this.dialect.setZone(zone, isOut), isOver);
  }

  /** Reads the configuration from one daemon. */
  async read(isFinal: boolean): Promise<ReadRecord> {
    const sentAtMs = performance.now();
    const address = pick(this.draw, this.addresses);
    const answer = await callControl(address, this.dialect.readConfig());
    const text = answer?.status === OK_STATUS ? answer.text : undefined;
    const read = {sentAtMs, isFinal, text};
    this.reads.push(read);
    return read;
  }

  private async order(
    call: ControlCall,
    isOver: () => boolean,
  ): Promise<boolean> {
    while (!isOver()) {
      if (await this.control(call)) return true;
      await delay(RETRY_MS);
    }
    return false;
  }
}
