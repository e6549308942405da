/**
 * The types of a deployment's rules. One line of the rules file defines one
 * rule; docs/RULES.md documents every kind.
 */
import type {
  ModelId,
  ServiceId,
  TargetId,
  WorkspaceId,
  ZoneId,
} from '../ids/index.js';

/** Line of a rule and who asked for it, from the comment that ends the line. */
export interface RuleSource {
  readonly line: number;
  readonly requestedBy: string;
}

export type ServiceKind = 'engine' | 'plain';

/** `service NAME kind=engine|plain path=/...` */
export interface ServiceRule extends RuleSource {
  readonly kind: 'service';
  readonly service: ServiceId;
  readonly serviceKind: ServiceKind;
  readonly path: string;
  readonly maxQueue: number;
  readonly maxConcurrency: number;
}

/** `workspace NAME key-sha256=HEX` */
export interface WorkspaceRule extends RuleSource {
  readonly kind: 'workspace';
  readonly workspace: WorkspaceId;
  readonly keySha256: string;
  readonly weight: number;
}

/** `priority level=N` for a workspace, a service or both; 0 is served first. */
export interface PriorityRule extends RuleSource {
  readonly kind: 'priority';
  readonly workspace: WorkspaceId | undefined;
  readonly service: ServiceId | undefined;
  readonly level: number;
}

/** `once service=NAME method=POST path=/...`: calls that must not be repeated. */
export interface OnceRule extends RuleSource {
  readonly kind: 'once';
  readonly service: ServiceId;
  readonly method: string;
  readonly path: string;
}

/** `limit workspace=NAME service=NAME concurrency=N queue=N`, per entry. */
export interface LimitRule extends RuleSource {
  readonly kind: 'limit';
  readonly workspace: WorkspaceId;
  readonly service: ServiceId | undefined;
  readonly maxConcurrency: number;
  readonly maxQueue: number;
}

/** `affinity service=NAME prefix-chars=N`: routes equal prefixes to one target. */
export interface AffinityRule extends RuleSource {
  readonly kind: 'affinity';
  readonly service: ServiceId;
  readonly prefixChars: number;
}

/** `target NAME fencing=... orders=...`: how a target validates orders. */
export interface TargetRule extends RuleSource {
  readonly kind: 'target';
  readonly target: TargetId | undefined;
  readonly service: ServiceId | undefined;
  readonly checksFencing: boolean;
  readonly checksSender: boolean;
}

/** `model NAME service=... version=... targets=N`: version to hold, and where. */
export interface ModelRule extends RuleSource {
  readonly kind: 'model';
  readonly model: ModelId;
  readonly service: ServiceId;
  readonly version: string;
  readonly targets: number;
}

/** `zone NAME`: an availability zone of the deployment. */
export interface ZoneRule extends RuleSource {
  readonly kind: 'zone';
  readonly zone: ZoneId;
}

/** `voters count=N replace-after-s=N`: the size of the control group. */
export interface VotersRule extends RuleSource {
  readonly kind: 'voters';
  readonly count: number;
  readonly replaceAfterS: number;
}

export type Rule =
  | ServiceRule
  | WorkspaceRule
  | PriorityRule
  | OnceRule
  | LimitRule
  | AffinityRule
  | TargetRule
  | ModelRule
  | ZoneRule
  | VotersRule;

/** One error in a rules file with its position. Lines and columns start at 1. */
export interface RuleError {
  readonly line: number;
  readonly column: number;
  readonly message: string;
  readonly sourceLine: string;
}

/** The validated rules, indexed for the lookups that serve a request. */
export interface RuleSet {
  readonly services: ReadonlyMap<ServiceId, ServiceRule>;
  readonly workspaces: ReadonlyMap<WorkspaceId, WorkspaceRule>;
  readonly workspacesByKey: ReadonlyMap<string, WorkspaceRule>;
  readonly zones: ReadonlyMap<ZoneId, ZoneRule>;
  readonly models: ReadonlyMap<ModelId, ModelRule>;
  readonly priorities: readonly PriorityRule[];
  readonly once: readonly OnceRule[];
  readonly limits: readonly LimitRule[];
  readonly affinities: ReadonlyMap<ServiceId, AffinityRule>;
  readonly targets: readonly TargetRule[];
  readonly voters: VotersRule | undefined;
}
