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
    '| key | allowed | default | what it sets |',
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
    'Plain text, one rule a line. A line is a kind of rule, a name where the kind takes one, `key=value` pairs in any order',
    'and a comment naming who asked for the rule and why: `# NAME: REASON`. A rule without that comment is refused. Blank',
    'lines and lines that hold only a comment are allowed. A value holds no spaces. `samphirefield check FILE` prints every',
    'error at once as `FILE:LINE:COLUMN` with a caret. A file with an error changes nothing that is in force.',
    '',
    ...Object.entries(RULE_SPECS).flatMap(([kind, spec]) =>
      renderRule(kind, spec),
    ),
  ].join('\n');
}
