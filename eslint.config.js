/**
 * Google's TypeScript rules from gts, and the limits on imports between packages.
 */
import gts from 'gts';

const testFunctions = [
  {from: 'package', package: 'node:test', name: ['it', 'describe', 'test']},
];

/** Rules for the decision logic: it takes the time as a parameter and does no I/O. */
const pureLogic = {
  'no-restricted-imports': [
    'error',
    {
      patterns: [
        {
          group: ['node:*', 'undici', 'hono', 'hono/*', '@hono/*'],
          message: 'decision logic must not do I/O',
        },
      ],
    },
  ],
  'no-restricted-globals': [
    'error',
    ...['setTimeout', 'setInterval', 'setImmediate', 'performance', 'fetch'],
    'process',
  ],
  'no-restricted-properties': [
    'error',
    {object: 'Date', property: 'now', message: 'take the time as a parameter'},
    {
      object: 'Math',
      property: 'random',
      message: 'take a random function as a parameter',
    },
  ],
  'no-restricted-syntax': [
    'error',
    {
      selector: "NewExpression[callee.name='Date']",
      message: 'take the time as a parameter',
    },
  ],
};

/** Forbids imports of packages in a higher layer. */
const noUpwardImports = packages => ({
  'no-restricted-imports': [
    'error',
    {
      patterns: [
        {
          group: packages.map(name => `@samphirefield/${name}`),
          message: 'this package must not import from a higher layer',
        },
      ],
    },
  ],
});

export default [
  {ignores: ['**/dist/**', 'node_modules/**', '.demo/**', 'target/**']},
  ...gts,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: false,
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {allowForKnownSafeCalls: testFunctions},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {fixStyle: 'inline-type-imports'},
      ],
      '@typescript-eslint/no-non-null-assertion': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true}},
      ],
    },
  },
  {
    files: [
      'packages/policy/src/**/*.ts',
      'packages/replication/src/raft/**/*.ts',
    ],
    ignores: ['**/*.spec.ts'],
    rules: pureLogic,
  },
  {
    files: ['packages/core/src/**/*.ts'],
    rules: noUpwardImports([
      'policy',
      'control',
      'replication',
      'daemon',
      'cli',
      'fakes',
      'replay',
    ]),
  },
  {
    files: ['packages/gateway/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: noUpwardImports(['cluster', 'daemon', 'cli', 'fakes', 'platform']),
  },
  {
    files: ['packages/cluster/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: noUpwardImports(['daemon', 'cli', 'fakes', 'platform']),
  },
  {
    files: ['packages/control/src/**/*.ts'],
    rules: noUpwardImports(['daemon', 'cli', 'fakes', 'replay']),
  },
  {
    files: ['packages/daemon/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: noUpwardImports(['cli', 'fakes', 'replay']),
  },
  {
    files: ['**/*.mjs', 'eslint.config.js'],
    languageOptions: {
      sourceType: 'module',
      ecmaVersion: 2023,
      globals: {
        process: 'readonly',
        fetch: 'readonly',
        console: 'readonly',
        setTimeout: 'readonly',
        URL: 'readonly',
        AbortSignal: 'readonly',
        Buffer: 'readonly',
        performance: 'readonly',
        TextDecoder: 'readonly',
        clearTimeout: 'readonly',
        setInterval: 'readonly',
        clearInterval: 'readonly',
      },
    },
    rules: {
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
];
