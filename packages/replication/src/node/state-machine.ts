/** What a replicated state machine offers to the replica that drives it. */
export interface StateMachine<CommandResult> {
  /** Applies one committed command; the same commands give the same state. */
  apply(command: string, index: number): CommandResult;
  snapshot(): Uint8Array;
  restore(data: Uint8Array): void;
}
