/** Operators' commands and their results, which are kept for resends. */
import type {CommandId, Revision, TargetId, ZoneId} from '@samphirefield/core';

export type OperatorChange =
  | {readonly kind: 'apply_rules'; readonly text: string}
  | {readonly kind: 'zone'; readonly zone: ZoneId; readonly isOut: boolean}
  | {
      readonly kind: 'target';
      readonly target: TargetId;
      readonly isOut: boolean;
    };

export interface OperatorCommand {
  readonly kind: 'operator';
  readonly commandId: CommandId;
  /** The revision on which the operator based the change. */
  readonly baseRevision: Revision;
  readonly operator: string;
  readonly change: OperatorChange;
  readonly atMs: number;
}

/** An accepted change, as a conflict lists it for the operator. */
export interface ChangeSummary {
  readonly revision: Revision;
  readonly operator: string;
  readonly commandId: CommandId;
  readonly acceptedAtMs: number;
  readonly description: string;
}

export type OperatorResult =
  | {
      readonly kind: 'accepted';
      readonly revision: Revision;
      readonly description: string;
    }
  | {readonly kind: 'unchanged'; readonly revision: Revision}
  /**
   * Another command was accepted first; lists the changes since the base
   * revision, oldest first.
   */
  | {
      readonly kind: 'conflict';
      readonly baseRevision: Revision;
      readonly revision: Revision;
      readonly changesSince: readonly ChangeSummary[];
    };
