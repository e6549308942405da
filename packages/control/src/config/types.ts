/**
 * The active configuration: its rules, and the zones and targets out of
 * service.
 */
import type {CommandId, Revision, TargetId, ZoneId} from '@samphirefield/core';

/** The configuration at one revision, as every entry holds it. */
export interface ConfigView {
  readonly revision: Revision;
  readonly rulesText: string;
  readonly outZones: readonly ZoneId[];
  readonly outTargets: readonly TargetId[];
}

/**
 * Replaces `removedLines` lines from `firstLine` (zero-based) with
 * `insertedLines`.
 */
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

/** An accepted change; `revision` is the revision that it created. */
export interface ConfigDelta {
  readonly revision: Revision;
  readonly commandId: CommandId;
  readonly operator: string;
  readonly acceptedAtMs: number;
  readonly edit: ConfigEdit;
}
