/**
 * The kinds of rules and their keys. The parser, the error messages and
 * docs/RULES.md are all based on this table.
 */
import {
  modelId,
  serviceId,
  targetId,
  workspaceId,
  zoneId,
} from '../ids/index.js';
import type {Rule, RuleSource} from './types.js';

/** Type of a key's value; `parse` returns undefined for invalid text. */
export interface ValueType {
  readonly allowed: string;
  readonly parse: (text: string) => string | number | boolean | undefined;
}

export interface KeySpec {
  readonly value: ValueType;
  readonly isRequired: boolean;
  readonly defaultValue: string | number | boolean | undefined;
  readonly help: string;
}

export type RuleValues = Readonly<
  Record<string, string | number | boolean | undefined>
>;

export interface RuleSpec {
  readonly nameAllowed: 'required' | 'optional' | 'none';
  readonly help: string;
  readonly example: string;
  readonly keys: Readonly<Record<string, KeySpec>>;
  readonly build: (
    name: string | undefined,
    values: RuleValues,
    source: RuleSource,
  ) => Rule;
}

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const PATH_PATTERN = /^\/[A-Za-z0-9/_.~-]{0,200}$/;
const METHODS = ['POST', 'PUT', 'PATCH', 'DELETE'];

const matching = (pattern: RegExp, allowed: string): ValueType => ({
  allowed,
  parse: text => (pattern.test(text) ? text : undefined),
});
const oneOf = (choices: readonly string[]): ValueType => ({
  allowed: choices.join(' or '),
  parse: text => (choices.includes(text) ? text : undefined),
});
const wholeNumber = (minimum: number, maximum: number): ValueType => ({
  allowed: `a whole number from ${minimum} to ${maximum}`,
  parse: text => {
    if (!/^\d{1,9}$/.test(text)) return undefined;
    const value = Number(text);
    return value >= minimum && value <= maximum ? value : undefined;
  },
});
export const nameValue = matching(
  NAME_PATTERN,
  'a lower-case name of letters, digits, dots, hyphens and underscores',
);
const pathValue = matching(PATH_PATTERN, 'a path that starts with /');

const required = (value: ValueType, help: string): KeySpec => ({
  value,
  isRequired: true,
  defaultValue: undefined,
  help,
});
const optional = (
  value: ValueType,
  defaultValue: string | number | undefined,
  help: string,
): KeySpec => ({value, isRequired: false, defaultValue, help});

const MAX_COUNT = 1_000_000;
const toText = (value: RuleValues[string]) => value as string;
const toNumber = (value: RuleValues[string]) => value as number;
const mapOptional = <T>(
  value: RuleValues[string],
  make: (text: string) => T,
): T | undefined => (value === undefined ? undefined : make(value as string));

export const RULE_SPECS: Readonly<Record<string, RuleSpec>> = {
  zone: {
    nameAllowed: 'required',
    help: 'An availability zone of the deployment.',
    example: 'zone zone-a # Aisyah: first hall',
    keys: {},
    build: (name, _values, source) => ({
      kind: 'zone',
      zone: zoneId(name!),
      ...source,
    }),
  },
  service: {
    nameAllowed: 'required',
    help: 'A service that callers reach by path: a model engine or a plain service.',
    example:
      'service order-desk kind=plain path=/orders queue=64 # Aisyah: wax orders',
    keys: {
      kind: required(oneOf(['engine', 'plain']), 'kind of its targets'),
      path: required(pathValue, 'path prefix of the service'),
      queue: optional(
        wholeNumber(0, MAX_COUNT),
        512,
        'maximum queue length per entry',
      ),
      concurrency: optional(
        wholeNumber(1, MAX_COUNT),
        MAX_COUNT,
        'maximum number of requests in flight per entry',
      ),
    },
    build: (name, values, source) => ({
      kind: 'service',
      service: serviceId(name!),
      serviceKind: toText(values['kind']) as 'engine' | 'plain',
      path: toText(values['path']),
      maxQueue: toNumber(values['queue']),
      maxConcurrency: toNumber(values['concurrency']),
      ...source,
    }),
  },
  workspace: {
    nameAllowed: 'required',
    help: 'A workspace, the SHA-256 of its API key and its weight when a service is crowded.',
    example: `workspace estate-north key-sha256=${'0'.repeat(60)}cafe weight=4 # Aisyah: largest estate`,
    keys: {
      'key-sha256': required(
        matching(/^[0-9a-f]{64}$/, '64 lower-case hexadecimal digits'),
        'SHA-256 of the API key; `samphirefield key hash` prints it',
      ),
      weight: optional(
        wholeNumber(1, 1_000),
        1,
        'share relative to other workspaces',
      ),
    },
    build: (name, values, source) => ({
      kind: 'workspace',
      workspace: workspaceId(name!),
      keySha256: toText(values['key-sha256']),
      weight: toNumber(values['weight']),
      ...source,
    }),
  },
  priority: {
    nameAllowed: 'none',
    help: 'The priority of the requests of a workspace, a service or both; level 0 is served first.',
    example:
      'priority service=order-desk level=1 # Budi: dealers wait at the counter',
    keys: {
      workspace: optional(nameValue, undefined, 'only this workspace'),
      service: optional(nameValue, undefined, 'only this service'),
      level: required(wholeNumber(0, 9), '0 is served first, 9 last'),
    },
    build: (_name, values, source) => ({
      kind: 'priority',
      workspace: mapOptional(values['workspace'], workspaceId),
      service: mapOptional(values['service'], serviceId),
      level: toNumber(values['level']),
      ...source,
    }),
  },
  once: {
    nameAllowed: 'none',
    help: 'Calls that must not be repeated; each needs an Idempotency-Key.',
    example:
      'once service=order-desk method=POST path=/orders # Aisyah: nobody pays twice',
    keys: {
      service: required(nameValue, 'service of the calls'),
      method: optional(oneOf(METHODS), 'POST', 'HTTP method of the calls'),
      path: required(pathValue, 'path prefix of the calls'),
    },
    build: (_name, values, source) => ({
      kind: 'once',
      service: serviceId(toText(values['service'])),
      method: toText(values['method']),
      path: toText(values['path']),
      ...source,
    }),
  },
  limit: {
    nameAllowed: 'none',
    help: 'Limits on the requests of one workspace, per entry.',
    example:
      'limit workspace=broker-west service=schrijver concurrency=40 queue=200 # Joost: catalogue import',
    keys: {
      workspace: required(nameValue, 'workspace that is limited'),
      service: optional(nameValue, undefined, 'only this service'),
      concurrency: optional(
        wholeNumber(1, MAX_COUNT),
        MAX_COUNT,
        'maximum number of requests in flight',
      ),
      queue: optional(
        wholeNumber(0, MAX_COUNT),
        MAX_COUNT,
        'maximum number of waiting requests',
      ),
    },
    build: (_name, values, source) => ({
      kind: 'limit',
      workspace: workspaceId(toText(values['workspace'])),
      service: mapOptional(values['service'], serviceId),
      maxConcurrency: toNumber(values['concurrency']),
      maxQueue: toNumber(values['queue']),
      ...source,
    }),
  },
  affinity: {
    nameAllowed: 'none',
    help: 'Routes prompts with the same prefix to the same target while that target is not crowded.',
    example:
      'affinity service=advice-models prefix-chars=512 # Mei: planners share a long preamble',
    keys: {
      service: required(nameValue, 'service of the prompts'),
      'prefix-chars': optional(
        wholeNumber(1, 100_000),
        512,
        'number of leading characters of the prompt that are compared',
      ),
    },
    build: (_name, values, source) => ({
      kind: 'affinity',
      service: serviceId(toText(values['service'])),
      prefixChars: toNumber(values['prefix-chars']),
      ...source,
    }),
  },
  target: {
    nameAllowed: 'optional',
    help: 'How a target, or each target of a service, validates orders.',
    example:
      'target service=schrijver fencing=ignored orders=unchecked # Joost: old engine build',
    keys: {
      service: optional(nameValue, undefined, 'all targets of this service'),
      fencing: optional(
        oneOf(['checked', 'ignored']),
        'checked',
        'whether it rejects an order with an old fencing epoch',
      ),
      orders: optional(
        oneOf(['checked', 'unchecked']),
        'checked',
        'whether it authenticates the sender of an order',
      ),
    },
    build: (name, values, source) => ({
      kind: 'target',
      target: mapOptional(name, targetId),
      service: mapOptional(values['service'], serviceId),
      checksFencing: values['fencing'] === 'checked',
      checksSender: values['orders'] === 'checked',
      ...source,
    }),
  },
  model: {
    nameAllowed: 'required',
    help: 'A model, the service that serves it, its version and how many targets hold it.',
    example:
      'model advice-large service=advice-models version=3 targets=6 # Mei: budding season',
    keys: {
      service: required(nameValue, 'engine service that serves it'),
      version: optional(nameValue, '1', 'version that the targets hold'),
      targets: optional(
        wholeNumber(0, 100_000),
        0,
        'number of targets that hold it; 0 for all',
      ),
    },
    build: (name, values, source) => ({
      kind: 'model',
      model: modelId(name!),
      service: serviceId(toText(values['service'])),
      version: toText(values['version']),
      targets: toNumber(values['targets']),
      ...source,
    }),
  },
  voters: {
    nameAllowed: 'none',
    help: 'The size of the control group, and when an unresponsive voter is replaced by another instance with a disk.',
    example: 'voters count=3 replace-after-s=60 # Aisyah: one zone may be lost',
    keys: {
      count: optional(oneOf(['1', '3', '5']), '3', 'number of voters'),
      'replace-after-s': optional(
        wholeNumber(5, 86_400),
        60,
        'seconds without contact before another instance replaces a voter',
      ),
    },
    build: (_name, values, source) => ({
      kind: 'voters',
      count: Number(values['count']),
      replaceAfterS: toNumber(values['replace-after-s']),
      ...source,
    }),
  },
};
