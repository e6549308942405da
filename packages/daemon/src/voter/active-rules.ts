/** The rules of the committed configuration, parsed once per revision. */
import {parseRules, type RuleSet} from '@samphirefield/core';
import type {ControlStateMachine} from '@samphirefield/control';

export class ActiveRules {
  private revision: number | undefined;
  private rules: RuleSet | undefined;

  constructor(private readonly stateMachine: ControlStateMachine) {}

  /** Undefined only if a newer version of this program accepted the rules. */
  current(): RuleSet | undefined {
    const {revision, rulesText} = this.stateMachine.tables.config;
    if (this.revision === revision) return this.rules;
    const parsed = parseRules(rulesText);
    this.revision = revision;
    this.rules = parsed.isOk() ? parsed.value : undefined;
    return this.rules;
  }
}
