/**
 * Mutation test of the fuzzer: breaks one rule of the consensus core at a time,
 * in a copy of the build, and counts the seeds that detect it.
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

/** Each: the broken rule, the compiled file, its text, and the replacement. */
const MUTANTS = [
  [
    'a voter votes while a leader may rely on its lease',
    'raft/election.js',
    'const isProtected = mustProtectLease(state, nowMs) && !request.isTransfer;',
    'const isProtected = false;',
  ],
  [
    'a vote ignores how recent the log is',
    'raft/election.js',
    'const ownLastTerm = lastTerm(state.log);',
    'return true;',
  ],
  [
    'a voter votes twice in a term',
    'raft/election.js',
    'const canVoteForSender = state.votedFor === null || state.votedFor === from;',
    'const canVoteForSender = true;',
  ],
  [
    'votes and acknowledgements are sent before the sync',
    'fuzz/cluster.js',
    'this.sendAll(effects.sendNow);',
    'this.sendAll(effects.sendNow); this.sendAll(effects.sendAfterPersist);',
  ],
  [
    'a single voter sends messages before its term is stored',
    'raft/state.js',
    'const maySendBeforePersist = !pending.isHardStateDirty;',
    'const maySendBeforePersist = true;',
  ],
  [
    'a leader commits log entries of earlier terms by counting replicas',
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
    'the lease starts at the response, not at the request',
    'raft/lease.js',
    '?? Number.NEGATIVE_INFINITY',
    '!== undefined ? state.progress.get(id).lastContactAtMs : Number.NEGATIVE_INFINITY',
  ],
  [
    'the leader counts a log entry that it has not synced',
    'raft/replication.js',
    '? state.persistedIndex',
    '? lastIndex(state.log)',
  ],
  [
    'membership changes overlap',
    'raft/step.js',
    'if (!hasCommittedInTerm || isChangePending(state))',
    'if (false)',
  ],
  [
    'a replica whose removal is uncommitted does not start elections',
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
  if (!text.includes(from))
    throw new Error(`${file} does not contain: ${from}`);
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
console.log('| broken rule | seeds that detect it | first message |');
console.log('| --- | --- | --- |');
for (const [rule, file, from, to] of MUTANTS) {
  const folder = build(file, from, to);
  const module = pathToFileURL(join(folder, 'dist/fuzz/index.js')).href;
  const {failures} = await fuzz(module, 1, schedules);
  const message = (failures[0]?.message ?? 'none').slice(0, 90);
  console.log(`| ${rule} | ${failures.length} of ${schedules} | ${message} |`);
  rmSync(folder, {recursive: true});
}
