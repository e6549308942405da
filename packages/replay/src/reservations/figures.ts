/** Figures of a played scenario, as callers see it. */
import type {Outcome, PlayFigures, PlayedRequest} from './types.js';

const WINDOW_MS = 2_000;

export interface ClassFigures {
  readonly name: string;
  readonly asked: number;
  readonly shares: Readonly<Record<Outcome, number>>;
}

export interface ScenarioFigures {
  readonly classes: readonly ClassFigures[];
  /** Credit earned as a share of the credit that could be earned. */
  readonly worth: number;
  /** The same in the worst two windows of two seconds. */
  readonly worstWindows: number;
  readonly preemptions: number;
}

function creditOf({requestClass, outcome}: PlayedRequest): number {
  if (outcome === 'in_time') return requestClass.worth;
  return outcome === 'late' ? requestClass.lateWorth : 0;
}

function worthOf(requests: readonly PlayedRequest[]): number {
  const sum = (value: (request: PlayedRequest) => number) =>
    requests.reduce((total, request) => total + value(request), 0);
  return (
    sum(creditOf) /
    Math.max(
      1,
      sum(item => item.requestClass.worth),
    )
  );
}

function classFigures(
  name: string,
  requests: readonly PlayedRequest[],
): ClassFigures {
  const share = (outcome: Outcome) =>
    requests.filter(request => request.outcome === outcome).length /
    Math.max(1, requests.length);
  return {
    name,
    asked: requests.length,
    shares: {
      in_time: share('in_time'),
      late: share('late'),
      refused: share('refused'),
      lost: share('lost'),
    },
  };
}

export function figuresOf(played: PlayFigures): ScenarioFigures {
  const {requests, preemptions} = played;
  const byClass = new Map<string, PlayedRequest[]>();
  const byWindow = new Map<number, PlayedRequest[]>();
  for (const request of requests) {
    const {name} = request.requestClass;
    byClass.set(name, [...(byClass.get(name) ?? []), request]);
    const window = Math.floor(request.askedAtMs / WINDOW_MS);
    byWindow.set(window, [...(byWindow.get(window) ?? []), request]);
  }
  const windows = [...byWindow.values()].map(worthOf).sort((a, b) => a - b);
  return {
    classes: [...byClass].map(([name, items]) => classFigures(name, items)),
    worth: worthOf(requests),
    worstWindows: ((windows[0] ?? 0) + (windows[1] ?? 0)) / 2,
    preemptions,
  };
}
