/** Renders docs/SETTINGS.md from the settings schema. */
import {z} from 'zod';
import {settingsSchema} from './schema.js';

interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly minLength?: number;
  readonly enum?: readonly string[];
  readonly pattern?: string;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
}

function describeAllowed(schema: JsonSchema): string {
  if (schema.enum) return schema.enum.join(', ');
  if (schema.type === 'integer')
    return `${schema.minimum} to ${schema.maximum}`;
  if (schema.minLength)
    return `text of at least ${schema.minLength} characters`;
  return 'text';
}

function renderRows(
  prefix: string,
  schema: JsonSchema,
  isOptional: boolean,
): string[] {
  const rows: string[] = [];
  for (const [key, child] of Object.entries(schema.properties ?? {})) {
    const path = prefix === '' ? key : `${prefix}.${key}`;
    const isRequired = (schema.required ?? []).includes(key);
    if (child.properties) {
      rows.push(...renderRows(path, child, isOptional || !isRequired));
    } else if (child.items) {
      rows.push(`| \`${path}\` | list | required | ${child.description} |`);
      rows.push(...renderRows(`${path}[]`, child.items, false));
    } else {
      const whenMissing = isOptional
        ? 'required if its table is present'
        : 'required';
      const value =
        child.default === undefined
          ? whenMissing
          : `\`${String(child.default)}\``;
      rows.push(
        `| \`${path}\` | ${describeAllowed(child)} | ${value} | ${child.description} |`,
      );
    }
  }
  return rows;
}

export function renderSettingsPage(): string {
  const schema = z.toJSONSchema(settingsSchema, {io: 'input'}) as JsonSchema;
  return [
    '# Settings',
    '',
    'Generated from `packages/core/src/settings/schema.ts` by `npm run docs`. A field carries its unit as a suffix.',
    'A daemon validates its settings file at startup and exits with code 2 if a key is invalid, missing or unknown;',
    '`samphirefield settings check FILE` runs the same checks without starting a daemon.',
    '',
    '| key | allowed values | default | description |',
    '| --- | --- | --- | --- |',
    ...renderRows('', schema, false),
    '',
  ].join('\n');
}
