/** The reason of a decision as text for operators. */
import type {Finding, RolloutReason} from './types.js';

function describeFinding(finding: Finding): string {
  const {route, responses, bad, expectedBad, targets} = finding;
  const where = route === undefined ? 'on all routes' : `on route ${route}`;
  return `${bad} of ${responses} responses ${where} from ${targets} targets, expected ${expectedBad.toFixed(1)}`;
}

export function describeReason(reason: RolloutReason): string {
  switch (reason.kind) {
    case 'as_good_as_old':
      return `as good as the old version over ${reason.responses} responses`;
    case 'too_few_requests':
      return `too few requests to tell: ${reason.responses} responses`;
    case 'failures':
      return `failures: ${describeFinding(reason.finding)}`;
    case 'slowness':
      return `slow responses: ${describeFinding(reason.finding)}`;
    case 'no_targets':
      return 'no usable target of the new version';
    case 'too_few_targets':
      return `${reason.usable} usable targets of the new version, ${reason.needed} needed`;
  }
}
