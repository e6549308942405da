/** Status of a deployment, as its leader reports it to operators. */

/** Status of one entry daemon. */
export interface EntryStatus {
  readonly instance: string;
  readonly zone: string;
  readonly revision: number;
  readonly heardMsAgo: number;
  readonly hasLease: boolean;
}

export interface TargetStatus {
  readonly target: string;
  readonly service: string;
  readonly zone: string;
  readonly isWarm: boolean;
  readonly isLapsed: boolean;
  readonly isLeaving: boolean;
  readonly bearsSlots: number;
  readonly grantedSlots: number;
  readonly running: number;
}

export interface MemberStatus {
  readonly replica: string;
  readonly instance: string;
  readonly role: string;
  readonly silentMs: number;
  readonly lagEntries: number;
}

export interface ClusterStatus {
  readonly leader: string;
  readonly term: number;
  readonly revision: number;
  readonly configHash: string;
  /**
   * Whether every entry either holds the current revision or has lost its
   * lease.
   */
  readonly isInForce: boolean;
  readonly outZones: readonly string[];
  readonly outTargets: readonly string[];
  readonly entries: readonly EntryStatus[];
  readonly targets: readonly TargetStatus[];
  readonly members: readonly MemberStatus[];
  readonly ledgerRecords: number;
  readonly quarantined: readonly string[];
}
