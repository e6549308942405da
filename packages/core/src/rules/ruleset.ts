/** Indexes rules and checks that they are consistent with each other. */
import type {ServiceId, WorkspaceId} from '../ids/index.js';
import type {Rule, RuleSet, ServiceRule} from './types.js';

type ReportLine = (line: number, message: string) => void;
type RuleOf<K extends Rule['kind']> = Extract<Rule, {kind: K}>;

function rulesOfKind<K extends Rule['kind']>(
  rules: readonly Rule[],
  kind: K,
): RuleOf<K>[] {
  return rules.filter((rule): rule is RuleOf<K> => rule.kind === kind);
}

function indexBy<K, R extends Rule>(
  rules: readonly R[],
  keyOf: (rule: R) => K,
  report: ReportLine,
): ReadonlyMap<K, R> {
  const index = new Map<K, R>();
  for (const rule of rules) {
    const key = keyOf(rule);
    const first = index.get(key);
    if (first) {
      const label =
        rule.kind === 'workspace' ? 'this name or key' : `'${String(key)}'`;
      report(
        rule.line,
        `${rule.kind} ${label} is already defined on line ${first.line}`,
      );
    }
    index.set(key, rule);
  }
  return index;
}

function checkReferences(
  ruleSet: RuleSet,
  rules: readonly Rule[],
  report: ReportLine,
): void {
  const checkService = (line: number, service: ServiceId | undefined) => {
    if (service === undefined || ruleSet.services.has(service)) return;
    report(line, `service '${service}' is not defined by any line`);
  };
  const checkWorkspace = (line: number, workspace: WorkspaceId | undefined) => {
    if (workspace === undefined || ruleSet.workspaces.has(workspace)) return;
    report(line, `workspace '${workspace}' is not defined by any line`);
  };
  for (const rule of rules) {
    if ('service' in rule) checkService(rule.line, rule.service);
    if ('workspace' in rule) checkWorkspace(rule.line, rule.workspace);
    if (rule.kind === 'model') checkModel(ruleSet, rule, report);
    if (rule.kind === 'once') checkOnce(ruleSet, rule, report);
    if (rule.kind === 'priority' && !rule.service && !rule.workspace) {
      report(rule.line, "'priority' needs workspace=, service= or both");
    }
    if (rule.kind === 'target' && !rule.service && !rule.target) {
      report(rule.line, "'target' needs a name, service= or both");
    }
  }
}

function checkModel(
  ruleSet: RuleSet,
  rule: RuleOf<'model'>,
  report: ReportLine,
): void {
  const service = ruleSet.services.get(rule.service);
  if (service && service.serviceKind !== 'engine') {
    report(rule.line, `service '${rule.service}' is not kind=engine`);
  }
}

function checkOnce(
  ruleSet: RuleSet,
  rule: RuleOf<'once'>,
  report: ReportLine,
): void {
  const service = ruleSet.services.get(rule.service);
  if (!service) return;
  if (service.serviceKind !== 'plain') {
    report(
      rule.line,
      "'once' needs a service of kind=plain; generations may be repeated until their first token",
    );
    return;
  }
  if (!pathBelongsTo(service.path, rule.path)) {
    report(rule.line, `path '${rule.path}' is not under '${service.path}'`);
  }
}

/** Whether `path` equals `prefix` or lies below it. */
export function pathBelongsTo(prefix: string, path: string): boolean {
  if (prefix === '/') return true;
  return path === prefix || path.startsWith(`${prefix}/`);
}

function checkPaths(
  services: readonly ServiceRule[],
  report: ReportLine,
): void {
  const plain = services.filter(rule => rule.serviceKind === 'plain');
  for (const rule of plain) {
    if (
      pathBelongsTo('/v1', rule.path) ||
      pathBelongsTo('/healthz', rule.path)
    ) {
      report(
        rule.line,
        `path '${rule.path}' is reserved for engines and health checks`,
      );
    }
    const duplicate = plain.find(
      other => other.line < rule.line && other.path === rule.path,
    );
    if (duplicate)
      report(
        rule.line,
        `path '${rule.path}' is already used on line ${duplicate.line}`,
      );
  }
}

export function indexRules(
  rules: readonly Rule[],
  report: ReportLine,
): RuleSet {
  const services = rulesOfKind(rules, 'service');
  const workspaces = rulesOfKind(rules, 'workspace');
  const ruleSet: RuleSet = {
    services: indexBy(services, rule => rule.service, report),
    workspaces: indexBy(workspaces, rule => rule.workspace, report),
    workspacesByKey: indexBy(workspaces, rule => rule.keySha256, report),
    zones: indexBy(rulesOfKind(rules, 'zone'), rule => rule.zone, report),
    models: indexBy(rulesOfKind(rules, 'model'), rule => rule.model, report),
    priorities: rulesOfKind(rules, 'priority'),
    once: rulesOfKind(rules, 'once'),
    limits: rulesOfKind(rules, 'limit'),
    affinities: indexBy(
      rulesOfKind(rules, 'affinity'),
      rule => rule.service,
      report,
    ),
    targets: rulesOfKind(rules, 'target'),
    voters: indexBy(rulesOfKind(rules, 'voters'), () => 'group', report).get(
      'group',
    ),
  };
  checkReferences(ruleSet, rules, report);
  checkPaths(services, report);
  return ruleSet;
}

export const EMPTY_RULE_SET: RuleSet = indexRules([], () => undefined);

export const DEFAULT_PRIORITY = 5;

/**
 * Returns the priority of a request. The most specific rule wins: workspace and
 * service, then workspace, then service. Of equally specific rules the last one
 * wins.
 */
export function priorityOf(
  ruleSet: RuleSet,
  workspace: WorkspaceId,
  service: ServiceId,
): number {
  let bestSpecificity = -1;
  let level = DEFAULT_PRIORITY;
  for (const rule of ruleSet.priorities) {
    if (rule.workspace !== undefined && rule.workspace !== workspace) continue;
    if (rule.service !== undefined && rule.service !== service) continue;
    const specificity = (rule.workspace ? 2 : 0) + (rule.service ? 1 : 0);
    if (specificity < bestSpecificity) continue;
    bestSpecificity = specificity;
    level = rule.level;
  }
  return level;
}

/** Returns the plain service of a path; the longest matching prefix wins. */
export function plainServiceFor(
  ruleSet: RuleSet,
  path: string,
): ServiceRule | undefined {
  let found: ServiceRule | undefined;
  for (const rule of ruleSet.services.values()) {
    if (rule.serviceKind !== 'plain' || !pathBelongsTo(rule.path, path))
      continue;
    if (!found || rule.path.length > found.path.length) found = rule;
  }
  return found;
}

export function isNonRepeatable(
  ruleSet: RuleSet,
  service: ServiceId,
  method: string,
  path: string,
): boolean {
  return ruleSet.once.some(
    rule =>
      rule.service === service &&
      rule.method === method &&
      pathBelongsTo(rule.path, path),
  );
}
