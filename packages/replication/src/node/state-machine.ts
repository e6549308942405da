/** The interface between a replica and its replicated state machine. */
export interface StateMachine<CommandResult> {
  /** Applies one committed command; must be deterministic. */
  apply(command: string, index: number): CommandResult;
  snapshot(): Uint8Array;
  restore(data: Uint8Array): void;
}
