/**
 * Checks the fuzzer itself: breaks one rule of the consensus core at a time, in
 * a copy of the build, and counts the seeds that notice.
 *
 *   npm run fuzz:mutants -- --schedules 1000
 */
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath, pathToFileURL} from 'node:url';
import {parseArgs} from 'node:util';
import {fuzz} from './fuzz.mjs';

const root = dirname(dirname(fileURLToPath(import.meta.url)));

/** Each names the rule that is broken, the file, and the change. */
const MUTANTS = [
  [
    'a voter votes while a leader may rely on its lease',
    'raft/election.js',
    'const isProtected = protectsLease(state, nowMs) && !request.isTransfer;',
    'const isProtected = false;',
  ],
  [
    'a vote does not look at the log',
    'raft/election.js',
    'const ownTerm = lastTerm(state.log);',
    'return true;',
  ],
  [
    'a vote is given twice in a term',
    'raft/election.js',
    'const isFree = state.votedFor === null || state.votedFor === from;',
    'const isFree = true;',
  ],
  [
    'votes and acknowledgements leave before the sync',
    'fuzz/cluster.js',
    'this.sendAll(effects.sendNow);',
    'this.sendAll(effects.sendNow); this.sendAll(effects.sendAfterPersist);',
  ],
  [
    'a lone voter sends before its term is stored',
    'raft/state.js',
    'const mayGoFirst = !pending.isHardStateDirty;',
    'const mayGoFirst = true;',
  ],
  [
    'a leader commits entries of earlier terms by counting',
    'raft/replication.js',
    'if (termAt(state.log, index) !== state.term)',
    'if (false)',
  ],
  [
    'a restarted voter may vote at once',
    'raft/state.js',
    'leaderContactAtMs: nowMs,',
    'leaderContactAtMs: Number.NEGATIVE_INFINITY,',
  ],
  [
    'the lease counts from the answer, not from the request',
    'raft/lease.js',
    '?? Number.NEGATIVE_INFINITY',
    '!== undefined ? state.progress.get(id).lastContactAtMs : Number.NEGATIVE_INFINITY',
  ],
  [
    'the leader counts an unsynced entry of its own',
    'raft/replication.js',
    '? state.persistedIndex',
    '? lastIndex(state.log)',
  ],
  [
    'membership changes overlap',
    'raft/step.js',
    'if (!isTermOpen || isChangePending(state))',
    'if (false)',
  ],
  [
    'a replica whose removal is open does not stand',
    'raft/election.js',
    'if (!mayStartElection(state))',
    'if (!isVoter(currentMembership(state), state.config.id))',
  ],
];

function build(file, from, to) {
  const folder = mkdtempSync(join(tmpdir(), 'samphirefield-mutant-'));
  cpSync(join(root, 'packages/replication/dist'), join(folder, 'dist'), {
    recursive: true,
  });
  writeFileSync(join(folder, 'package.json'), '{"type": "module"}');
  symlinkSync(join(root, 'node_modules'), join(folder, 'node_modules'));
  const path = join(folder, 'dist', file);
  const text = readFileSync(path, 'utf8');
  if (!text.includes(from)) throw new Error(`${file} does not hold: ${from}`);
  const imports =
    file === 'raft/election.js'
      ? "import { isVoter } from './membership.js';\n"
      : '';
  writeFileSync(path, imports + text.replace(from, to));
  return folder;
}

const {values} = parseArgs({
  options: {schedules: {type: 'string', default: '1000'}},
});
const schedules = Number(values.schedules);
console.log('| broken rule | seeds that notice | first message |');
console.log('| --- | --- | --- |');
for (const [rule, file, from, to] of MUTANTS) {
  const folder = build(file, from, to);
  const module = pathToFileURL(join(folder, 'dist/fuzz/index.js')).href;
  const {failures} = await fuzz(module, 1, schedules);
  const message = (failures[0]?.message ?? 'none').slice(0, 90);
  console.log(`| ${rule} | ${failures.length} of ${schedules} | ${message} |`);
  rmSync(folder, {recursive: true});
}
