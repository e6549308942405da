/**
 * Mutation tests for the tests of failures: breaks one rule of the daemon at a
 * time in a copy of the build and runs the test that must then fail.
 *
 *   npm run mutants [-- WORD]    only rules whose title contains WORD
 */
import {spawnSync} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const TIMEOUT_MS = 150_000;

/**
 * Each mutant: the title of the broken rule, the compiled file, the text that is
 * replaced, its replacement, the spec file and the pattern of its test titles.
 */
const MUTANTS = [
  [
    'an entry without a view lease dispatches no requests',
    'daemon/dist/entry/tables.js',
    'return nowMs < tables.viewLeaseEndMs;',
    'return true;',
    'daemon/dist/voter/control.spec.js',
    'silent partition of the entry',
  ],
  [
    'a zone that is out is not chosen',
    'policy/dist/allocations/capacity.js',
    'return state.outTargets.has(row.target) || state.outZones.has(zone);',
    'return false;',
    'policy/dist/allocations/allocations.spec.js',
    'zone that is out',
  ],
  [
    'a claim is committed before any byte is sent to a target',
    'daemon/dist/plain/at-most-once.js',
    "this.hasClaimed = claimed.value.kind === 'granted';",
    'this.hasClaimed = true;',
    'daemon/dist/plain/at-most-once.spec.js',
    'repeats during',
  ],
  [
    'a request whose outcome was lost is never run again',
    'policy/dist/retries/logic.js',
    'if (!attempt.mayRepeat) {',
    'if (false) {',
    'daemon/dist/plain/at-most-once.spec.js',
    'target that crashes while running a request',
  ],
  [
    'claims of a holder that is gone become unknown',
    'control/dist/ledger/apply-command.js',
    "state: 'unknown',\n            updatedAtMs: command.atMs,\n        });\n    }",
    "state: 'released',\n            updatedAtMs: command.atMs,\n        });\n    }",
    'control/dist/control.spec.js',
    'holder that is gone',
  ],
  [
    'a resent command gets its first result',
    'control/dist/state-machine/control-state-machine.js',
    'if (first)\n        return first;',
    '',
    'control/dist/control.spec.js',
    'first wins',
  ],
  [
    'of changes on the same base revision only one is accepted',
    'control/dist/state-machine/control-state-machine.js',
    'if (baseRevision !== config.revision) {',
    'if (false) {',
    'control/dist/control.spec.js',
    'first wins',
  ],
  [
    'events of another generation are rejected',
    'policy/dist/sequence/logic.js',
    'if (event.generation !== state.generation) {',
    'if (false) {',
    'policy/dist/decisions.spec.js',
    'another generation',
  ],
  [
    'duplicate events are dropped',
    'policy/dist/sequence/logic.js',
    'if (event.sequence < state.nextSequence)',
    'if (false)',
    'daemon/dist/generations/generations.spec.js',
    'duplicated and reordered',
  ],
  [
    'a silent stream is resumed',
    'policy/dist/retries/logic.js',
    'if (attempt.isEngine && isConnectionFailure && canResume)',
    'if (false)',
    'daemon/dist/generations/generations.spec.js',
    'connection goes silent',
  ],
  [
    'no second generation after the first token',
    'policy/dist/retries/logic.js',
    "if (attempt.hasForwarded)\n        return { kind: 'answer_incomplete' };",
    '',
    'policy/dist/decisions.spec.js',
    'second generation',
  ],
  [
    'resume tokens are authenticated',
    'daemon/dist/generations/resume-token.js',
    'if (!secretsEqual(mac, computeMac(key, encoded)))',
    'if (false)',
    'daemon/dist/generations/generations.spec.js',
    'resume token',
  ],
  [
    'a cold target accepts no more than its cold slots',
    'policy/dist/allocations/capacity.js',
    'return Math.min(cold_slots, slots);',
    'return slots;',
    'daemon/dist/entry/capacity.spec.js',
    'cold target is never',
  ],
  [
    'a draining target gets no new requests',
    'policy/dist/allocations/capacity.js',
    '|| leaving_in_ms !== undefined',
    '',
    'daemon/dist/entry/capacity.spec.js',
    'draining target',
  ],
  [
    'two crashes quarantine a request',
    'policy/dist/quarantine/causes.js',
    'incidents.size >= threshold.incidents',
    'false',
    'daemon/dist/entry/capacity.spec.js',
    'poison request',
  ],
  [
    'a planned stop waits for open streams',
    'daemon/dist/daemon.js',
    'await waitForIdle(components);',
    '',
    'daemon/dist/voter/control.spec.js',
    'planned stop',
  ],
  [
    'only replicas that were never members may form a group',
    'daemon/dist/operators/bootstrap.js',
    'return reason === undefined',
    'return true',
    'daemon/dist/voter/control.spec.js',
    'wiped disks on a majority',
  ],
  [
    'a grant counts until its holder confirms a smaller one',
    'policy/dist/allocations/leader.js',
    'slots: Math.max(slots, known?.slots ?? 0),',
    'slots,',
    'policy/dist/allocations/allocations.spec.js',
    'within the last lease',
  ],
  [
    'a new leader grants nothing while earlier grants may still be held',
    'policy/dist/allocations/leader.js',
    'graceEndMs: nowMs + timing.leaseMs + timing.clockDriftMs,',
    'graceEndMs: nowMs,',
    'policy/dist/allocations/allocations.spec.js',
    'within the last lease|renews held allocations',
  ],
  [
    'operator calls require the operator key',
    'daemon/dist/operators/api.js',
    'if (!secretsEqual(presented, `Bearer ${key}`)) {',
    'if (false) {',
    'daemon/dist/voter/control.spec.js',
    'wrong key',
  ],
  [
    'a request that crashes targets counts without its query and service',
    'policy/dist/quarantine/traits.js',
    'ANY_SERVICE, method, path',
    'service, method, url',
    'cluster/dist/repeated-request.spec.js',
    'another query each time',
  ],
  [
    'a request that two crashes share runs alone',
    'policy/dist/quarantine/admission.js',
    'if (!beginSolo(solos, service, suspects, nowMs)) {',
    'if (false) {',
    'policy/dist/quarantine/quarantine.spec.js',
    'watched requests run one at a time',
  ],
  [
    'crashes of one incident prove nothing by themselves',
    'policy/dist/quarantine/causes.js',
    'incidents.size >= threshold.incidents',
    'true',
    'policy/dist/quarantine/quarantine.spec.js',
    'copies that a failing rack takes',
  ],
  [
    'a successor shows that its predecessor crashed',
    'cluster/dist/entry/entry-node.js',
    'if (hasCrashed)',
    'if (false)',
    'cluster/dist/repeated-request.spec.js',
    'targets that end silently',
  ],
  [
    'a stated limit is kept over all entries',
    'cluster/dist/control/statement-keeper.js',
    'return msUntilSend(this.rates, target, nowMs) === 0;',
    'return true;',
    'cluster/dist/stated-limit.spec.js',
    'plain targets get far more',
  ],
  [
    'entries learn from the leader that a target leaves',
    'cluster/dist/entry/entry-statements.js',
    'if (learnStatement(this.table, report, nowMs))',
    'if (false)',
    'cluster/dist/leaving-targets.spec.js',
    'plain target that leaves gets more requests from the other',
  ],
  [
    'a replica that was replaced is outside the group',
    'cluster/dist/control/status-reporter.js',
    'isCurrent && !isKept ? [] : group.members',
    'group.members',
    'cluster/dist/full-disks.spec.js',
    'was replaced while its disk was full',
  ],
  [
    'the fault mix notices a limit that is exceeded',
    'cluster/dist/control/statement-keeper.js',
    'return msUntilSend(this.rates, target, nowMs) === 0;',
    'return true;',
    'cluster/dist/fault-mix.spec.js',
    'faults of seed',
  ],
  [
    'the fault mix notices requests at targets that left',
    'policy/dist/statements/logic.js',
    'isLeaving: leavingValue === 1',
    'isLeaving: false',
    'cluster/dist/fault-mix.spec.js',
    'faults of seed',
  ],
  [
    'the fault mix notices a false "not run"',
    'gateway/dist/exchange/classify-result.js',
    "kind: 'outcome_unknown',\n                reason: result.error.reason",
    "kind: 'not_run',\n                reason: result.error.reason",
    'cluster/dist/fault-mix.spec.js',
    'faults of seed',
  ],
];

function copyBuild() {
  const folder = mkdtempSync(join(tmpdir(), 'samphirefield-mutants-'));
  mkdirSync(join(folder, 'node_modules'));
  for (const name of readdirSync(join(root, 'node_modules'))) {
    if (name !== '@samphirefield')
      symlinkSync(
        join(root, 'node_modules', name),
        join(folder, 'node_modules', name),
      );
  }
  mkdirSync(join(folder, 'node_modules/@samphirefield'));
  for (const name of readdirSync(join(root, 'packages'))) {
    const target = join(folder, 'packages', name);
    mkdirSync(target, {recursive: true});
    cpSync(join(root, 'packages', name, 'dist'), join(target, 'dist'), {
      recursive: true,
    });
    cpSync(
      join(root, 'packages', name, 'package.json'),
      join(target, 'package.json'),
    );
    symlinkSync(target, join(folder, 'node_modules/@samphirefield', name));
  }
  return folder;
}

function runTest(folder, spec, pattern) {
  const result = spawnSync(
    process.execPath,
    [
      '--test',
      '--test-force-exit',
      `--test-name-pattern=${pattern}`,
      join(folder, 'packages', spec),
    ],
    {cwd: folder, encoding: 'utf8', timeout: TIMEOUT_MS, killSignal: 'SIGKILL'},
  );
  const message =
    /error: (?:\|-\s*)?(.*)/.exec(result.stdout ?? '')?.[1] ??
    (result.status === null ? 'timed out' : '');
  return {isNoticed: result.status !== 0, message: message.slice(0, 90)};
}

const word = process.argv[2] ?? '';
let missed = 0;
console.log('| broken rule | noticed | by the test | first message |');
console.log('| --- | --- | --- | --- |');
for (const [rule, file, from, to, spec, pattern] of MUTANTS) {
  if (!rule.includes(word)) continue;
  const folder = copyBuild();
  const before = runTest(folder, spec, pattern);
  const path = join(folder, 'packages', file);
  const text = readFileSync(path, 'utf8');
  if (!text.includes(from))
    throw new Error(`${file} does not contain: ${from}`);
  writeFileSync(path, text.replace(from, to));
  const after = runTest(folder, spec, pattern);
  // A test that fails without the mutation proves nothing.
  const isNoticed = after.isNoticed && !before.isNoticed;
  const message = before.isNoticed
    ? 'fails without the mutation'
    : after.message;
  if (!isNoticed) missed += 1;
  console.log(
    `| ${rule} | ${isNoticed ? 'yes' : 'NO'} | ${spec.split('/').pop()}: ${pattern} | ${message} |`,
  );
  rmSync(folder, {recursive: true, force: true});
}
process.exitCode = missed === 0 ? 0 : 1;
