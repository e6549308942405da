/** What a policy is to a replay: it takes arrivals and places them on engines. */
import type {Arrival, TraceEvent} from '../trace/index.js';
import type {SimulatedEngine} from './engines.js';

export interface SimulatedRequest {
  readonly id: string;
  readonly arrival: Arrival;
}

export interface RouterHost {
  readonly nowMs: () => number;
  readonly schedule: (atMs: number, run: () => void) => void;
  readonly engines: ReadonlyMap<string, SimulatedEngine>;
  /** Gives a request to an engine. */
  readonly submit: (request: SimulatedRequest, target: string) => void;
  /** Tells the caller that its request was not run. */
  readonly shed: (request: SimulatedRequest) => void;
  readonly randomBelow: (bound: number) => number;
}

export interface Router {
  readonly onArrival: (request: SimulatedRequest) => void;
  readonly onToken: (id: string) => void;
  readonly onFinished: (id: string) => void;
  readonly onReport: (engine: SimulatedEngine) => void;
  readonly onEvent: (event: TraceEvent) => void;
}

export type RouterFactory = (host: RouterHost, entries: number) => Router;
