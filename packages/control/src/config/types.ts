/** The configuration in force: rules by revision, and what is out of service. */
import type {CommandId, Revision, TargetId, ZoneId} from '@samphirefield/core';

/** What every entry needs of the configuration. */
export interface ConfigView {
  readonly revision: Revision;
  readonly rulesText: string;
  readonly outZones: readonly ZoneId[];
  readonly outTargets: readonly TargetId[];
}

/** Replaces `removedLines` lines from `firstLine` (from 0) by `insertedLines`. */
export interface RulesSplice {
  readonly kind: 'rules';
  readonly firstLine: number;
  readonly removedLines: number;
  readonly insertedLines: readonly string[];
}

export type ConfigEdit =
  | RulesSplice
  | {readonly kind: 'zone'; readonly zone: ZoneId; readonly isOut: boolean}
  | {
      readonly kind: 'target';
      readonly target: TargetId;
      readonly isOut: boolean;
    };

/** One accepted change; `revision` is the one that it made. */
export interface ConfigDelta {
  readonly revision: Revision;
  readonly commandId: CommandId;
  readonly operator: string;
  readonly acceptedAtMs: number;
  readonly edit: ConfigEdit;
}
