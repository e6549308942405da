/** The runs of an entry on targets, from their grants to their releases. */
import type {RequestId, ServiceId, TargetId} from '@samphirefield/core';
import type {HeldRun} from '../control/index.js';

export interface EntryRun extends HeldRun {
  readonly service: ServiceId;
  /** Whether the present leader may have a record of the run. */
  isAtLeader: boolean;
}

/** What a leader records of a run. */
export function toHeldRun({request, target, kvTokens}: EntryRun): HeldRun {
  return {request, target, kvTokens};
}

export class EntryRuns {
  private readonly runs = new Map<RequestId, EntryRun>();
  private changeCount = 0;

  /** How often the leader has changed, or its record of the runs. */
  get leaderChangeCount(): number {
    return this.changeCount;
  }

  add(run: EntryRun): void {
    this.runs.set(run.request, run);
  }

  /** Returns the run that ended; undefined if it is not known. */
  remove(request: RequestId): EntryRun | undefined {
    const run = this.runs.get(request);
    this.runs.delete(request);
    return run;
  }

  /** The next leader knows only the runs that it is told of. */
  forgetLeader(): void {
    this.changeCount += 1;
    for (const run of this.runs.values()) run.isAtLeader = false;
  }

  ofTarget(target: TargetId): EntryRun[] {
    return [...this.runs.values()].filter(run => run.target === target);
  }

  /** The runs on targets of the services that are selected. */
  ofServices(isSelected: (service: ServiceId) => boolean): EntryRun[] {
    return [...this.runs.values()].filter(({service}) => isSelected(service));
  }
}
