/** What callers get in a played scenario: by class, size and workspace. */
import type {PlayedRequest, PlayFigures} from './types.js';

/** A refusal within this time counts as one at once. */
const AT_ONCE_MS = 50;
const LARGEST_SHARE = 0.1;
const PERCENT = 100;

export interface CallerShares {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  /** Ran and did not end, or ended after its deadline. */
  readonly lost: number;
  /** Not served; the first refusal came at once, or after a wait. */
  readonly refusedAtOnce: number;
  readonly refusedAfterWait: number;
}

/** In per cent. */
export function sharesOf(requests: readonly PlayedRequest[]): CallerShares {
  const percent = (is: (request: PlayedRequest) => boolean) =>
    Math.round(
      (PERCENT * 10 * requests.filter(is).length) /
        Math.max(1, requests.length),
    ) / 10;
  const isAtOnce = ({refusedAfterMs}: PlayedRequest) =>
    refusedAfterMs !== undefined && refusedAfterMs <= AT_ONCE_MS;
  return {
    asked: requests.length,
    inTime: percent(({outcome}) => outcome === 'in_time'),
    late: percent(({outcome}) => outcome === 'late'),
    lost: percent(({outcome}) => outcome === 'lost'),
    refusedAtOnce: percent(
      item => item.outcome === 'refused' && isAtOnce(item),
    ),
    refusedAfterWait: percent(
      item => item.outcome === 'refused' && !isAtOnce(item),
    ),
  };
}

const servedOf = ({inTime, late}: CallerShares) => inTime + late;

export interface ClassReport extends CallerShares {
  /** Share of the largest tenth that is served. */
  readonly largestServed: number;
  /** Share served of the workspace that is served least. */
  readonly worstWorkspaceServed: number;
}

export function reportClass(
  played: PlayFigures,
  className: string,
): ClassReport {
  const requests = played.requests.filter(
    ({requestClass}) => requestClass.name === className,
  );
  const bySize = [...requests].sort((a, b) => b.tokens - a.tokens);
  const largest = bySize.slice(0, Math.ceil(bySize.length * LARGEST_SHARE));
  const workspaces = new Set(requests.map(({workspace}) => workspace));
  const byWorkspace = [...workspaces].map(name =>
    servedOf(sharesOf(requests.filter(item => item.workspace === name))),
  );
  return {
    ...sharesOf(requests),
    largestServed: servedOf(sharesOf(largest)),
    worstWorkspaceServed: Math.min(...byWorkspace),
  };
}
