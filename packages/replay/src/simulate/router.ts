/** The interface of a routing policy in a replay: it submits arrivals to engines. */
import type {Arrival, TraceEvent} from '../trace/index.js';
import type {SimulatedEngine} from './engines.js';

/** One arrival of the trace with its id in the replay. */
export interface SimulatedRequest {
  readonly id: string;
  readonly arrival: Arrival;
}

/** What the simulation provides to a router. */
export interface RouterHost {
  readonly nowMs: () => number;
  readonly schedule: (atMs: number, run: () => void) => void;
  readonly engines: ReadonlyMap<string, SimulatedEngine>;
  /** Submits a request to an engine. */
  readonly submit: (request: SimulatedRequest, target: string) => void;
  /** Sheds a request: it is rejected and never runs. */
  readonly shed: (request: SimulatedRequest) => void;
  readonly randomBelow: (bound: number) => number;
}

/** A routing policy; the simulation calls it on every event. */
export interface Router {
  readonly onArrival: (request: SimulatedRequest) => void;
  readonly onToken: (id: string) => void;
  readonly onFinished: (id: string) => void;
  readonly onReport: (engine: SimulatedEngine) => void;
  readonly onEvent: (event: TraceEvent) => void;
}

export type RouterFactory = (host: RouterHost, entries: number) => Router;
