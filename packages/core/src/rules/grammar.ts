/**
 * The kinds of rule and their keys. The parser, the error messages and
 * docs/RULES.md all read this table.
 */
import {
  modelId,
  serviceId,
  targetId,
  workspaceId,
  zoneId,
} from '../ids/index.js';
import type {Rule, RuleSource} from './types.js';

/** How the text of one key is checked; returns undefined when it is wrong. */
export interface ValueKind {
  readonly allowed: string;
  readonly parse: (text: string) => string | number | boolean | undefined;
}

export interface KeySpec {
  readonly value: ValueKind;
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

const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const PATH = /^\/[A-Za-z0-9/_.~-]{0,200}$/;
const METHODS = ['POST', 'PUT', 'PATCH', 'DELETE'];

const matching = (pattern: RegExp, allowed: string): ValueKind => ({
  allowed,
  parse: text => (pattern.test(text) ? text : undefined),
});
const oneOf = (choices: readonly string[]): ValueKind => ({
  allowed: choices.join(' or '),
  parse: text => (choices.includes(text) ? text : undefined),
});
const whole = (minimum: number, maximum: number): ValueKind => ({
  allowed: `a whole number from ${minimum} to ${maximum}`,
  parse: text => {
    if (!/^\d{1,9}$/.test(text)) return undefined;
    const value = Number(text);
    return value >= minimum && value <= maximum ? value : undefined;
  },
});
export const nameValue = matching(
  NAME,
  'a lower-case name of letters, digits, dots, hyphens and underscores',
);
const pathValue = matching(PATH, 'a path that starts with /');

const required = (value: ValueKind, help: string): KeySpec => ({
  value,
  isRequired: true,
  defaultValue: undefined,
  help,
});
const optional = (
  value: ValueKind,
  defaultValue: string | number | undefined,
  help: string,
): KeySpec => ({value, isRequired: false, defaultValue, help});

const MAX_COUNT = 1_000_000;
const text = (value: RuleValues[string]) => value as string;
const number = (value: RuleValues[string]) => value as number;
const maybe = <T>(
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
    help: 'A service that callers reach by path: a model engine or a plain one.',
    example:
      'service order-desk kind=plain path=/orders queue=64 # Aisyah: wax orders',
    keys: {
      kind: required(oneOf(['engine', 'plain']), 'what its targets are'),
      path: required(pathValue, 'start of the paths that belong to it'),
      queue: optional(whole(0, MAX_COUNT), 512, 'longest queue on one entry'),
      concurrency: optional(
        whole(1, MAX_COUNT),
        MAX_COUNT,
        'most requests in progress on one entry',
      ),
    },
    build: (name, values, source) => ({
      kind: 'service',
      service: serviceId(name!),
      serviceKind: text(values['kind']) as 'engine' | 'plain',
      path: text(values['path']),
      maxQueue: number(values['queue']),
      maxConcurrency: number(values['concurrency']),
      ...source,
    }),
  },
  workspace: {
    nameAllowed: 'required',
    help: 'A workspace, the SHA-256 of its API key and its share of a crowded service.',
    example: `workspace estate-north key-sha256=${'0'.repeat(60)}cafe weight=4 # Aisyah: largest estate`,
    keys: {
      'key-sha256': required(
        matching(/^[0-9a-f]{64}$/, '64 lower-case hexadecimal digits'),
        'SHA-256 of the API key; `samphirefield key hash` prints it',
      ),
      weight: optional(whole(1, 1_000), 1, 'share against other workspaces'),
    },
    build: (name, values, source) => ({
      kind: 'workspace',
      workspace: workspaceId(name!),
      keySha256: text(values['key-sha256']),
      weight: number(values['weight']),
      ...source,
    }),
  },
  priority: {
    nameAllowed: 'none',
    help: 'The priority of the requests of a workspace, a service or both; level 0 goes first.',
    example:
      'priority service=order-desk level=1 # Budi: dealers wait at the counter',
    keys: {
      workspace: optional(nameValue, undefined, 'only this workspace'),
      service: optional(nameValue, undefined, 'only this service'),
      level: required(whole(0, 9), '0 goes first, 9 last'),
    },
    build: (_name, values, source) => ({
      kind: 'priority',
      workspace: maybe(values['workspace'], workspaceId),
      service: maybe(values['service'], serviceId),
      level: number(values['level']),
      ...source,
    }),
  },
  once: {
    nameAllowed: 'none',
    help: 'Calls that may not be repeated; each needs an Idempotency-Key.',
    example:
      'once service=order-desk method=POST path=/orders # Aisyah: nobody pays twice',
    keys: {
      service: required(nameValue, 'the service'),
      method: optional(oneOf(METHODS), 'POST', 'the method'),
      path: required(pathValue, 'start of the paths'),
    },
    build: (_name, values, source) => ({
      kind: 'once',
      service: serviceId(text(values['service'])),
      method: text(values['method']),
      path: text(values['path']),
      ...source,
    }),
  },
  limit: {
    nameAllowed: 'none',
    help: 'Bounds on one workspace, on each entry.',
    example:
      'limit workspace=broker-west service=schrijver concurrency=40 queue=200 # Joost: catalogue import',
    keys: {
      workspace: required(nameValue, 'the workspace'),
      service: optional(nameValue, undefined, 'only this service'),
      concurrency: optional(whole(1, MAX_COUNT), MAX_COUNT, 'most in progress'),
      queue: optional(whole(0, MAX_COUNT), MAX_COUNT, 'most waiting'),
    },
    build: (_name, values, source) => ({
      kind: 'limit',
      workspace: workspaceId(text(values['workspace'])),
      service: maybe(values['service'], serviceId),
      maxConcurrency: number(values['concurrency']),
      maxQueue: number(values['queue']),
      ...source,
    }),
  },
  affinity: {
    nameAllowed: 'none',
    help: 'Sends prompts with the same start to the same target while it is not crowded.',
    example:
      'affinity service=advice-models prefix-chars=512 # Mei: planners share a long preamble',
    keys: {
      service: required(nameValue, 'the service'),
      'prefix-chars': optional(
        whole(1, 100_000),
        512,
        'characters of the prompt that are compared',
      ),
    },
    build: (_name, values, source) => ({
      kind: 'affinity',
      service: serviceId(text(values['service'])),
      prefixChars: number(values['prefix-chars']),
      ...source,
    }),
  },
  target: {
    nameAllowed: 'optional',
    help: 'How a target, or each target of a service, treats orders.',
    example:
      'target service=schrijver fencing=ignored orders=unchecked # Joost: old engine build',
    keys: {
      service: optional(nameValue, undefined, 'all targets of this service'),
      fencing: optional(
        oneOf(['checked', 'ignored']),
        'checked',
        'whether it refuses an old fencing number',
      ),
      orders: optional(
        oneOf(['checked', 'unchecked']),
        'checked',
        'whether it checks who gives an order',
      ),
    },
    build: (name, values, source) => ({
      kind: 'target',
      target: maybe(name, targetId),
      service: maybe(values['service'], serviceId),
      checksFencing: values['fencing'] === 'checked',
      checksSender: values['orders'] === 'checked',
      ...source,
    }),
  },
  model: {
    nameAllowed: 'required',
    help: 'A model, the service that answers for it, its version and how many targets hold it.',
    example:
      'model advice-large service=advice-models version=3 targets=6 # Mei: budding season',
    keys: {
      service: required(nameValue, 'the engine service'),
      version: optional(nameValue, '1', 'the version to hold'),
      targets: optional(
        whole(0, 100_000),
        0,
        'targets that hold it; 0 for all',
      ),
    },
    build: (name, values, source) => ({
      kind: 'model',
      model: modelId(name!),
      service: serviceId(text(values['service'])),
      version: text(values['version']),
      targets: number(values['targets']),
      ...source,
    }),
  },
  voters: {
    nameAllowed: 'none',
    help: 'The size of the control group, and when a silent voter is replaced by another instance with a disk.',
    example: 'voters count=3 replace-after-s=60 # Aisyah: one zone may be lost',
    keys: {
      count: optional(oneOf(['1', '3', '5']), '3', 'voters wanted'),
      'replace-after-s': optional(
        whole(5, 86_400),
        60,
        'seconds of silence before another instance takes its place',
      ),
    },
    build: (_name, values, source) => ({
      kind: 'voters',
      count: Number(values['count']),
      replaceAfterS: number(values['replace-after-s']),
      ...source,
    }),
  },
};
