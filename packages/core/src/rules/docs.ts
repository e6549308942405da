/** Renders docs/RULES.md from the grammar. */
import {RULE_SPECS, type RuleSpec} from './grammar.js';

function renderRule(kind: string, spec: RuleSpec): string[] {
  const name = {required: ' NAME', optional: ' [NAME]', none: ''}[
    spec.nameAllowed
  ];
  const rows = Object.entries(spec.keys).map(([key, keySpec]) => {
    const fallback = keySpec.isRequired
      ? 'required'
      : `${keySpec.defaultValue ?? 'not set'}`;
    return `| \`${key}=\` | ${keySpec.value.allowed} | ${fallback} | ${keySpec.help} |`;
  });
  const table = [
    '| key | allowed values | default | description |',
    '| --- | --- | --- | --- |',
    ...rows,
  ];
  return [
    `## \`${kind}${name}\``,
    '',
    spec.help,
    '',
    '```',
    spec.example,
    '```',
    '',
    ...(rows.length > 0 ? [...table, ''] : []),
  ];
}

export function renderRulesPage(): string {
  return [
    '# The rules file',
    '',
    'Generated from `packages/core/src/rules/grammar.ts` by `npm run docs`.',
    '',
    'Plain text, one rule per line. A line consists of the kind of the rule, a name if the kind takes one, `key=value` pairs',
    'in any order and a comment that names who asked for the rule and why: `# NAME: REASON`. A rule without that comment is',
    'rejected. Blank lines and comment lines are allowed. A value contains no spaces. `samphirefield check FILE` prints all',
    'errors at once as `FILE:LINE:COLUMN` with a caret. A file with an error leaves the active rules unchanged.',
    '',
    ...Object.entries(RULE_SPECS).flatMap(([kind, spec]) =>
      renderRule(kind, spec),
    ),
  ].join('\n');
}
