/**
 * Runs the compiled spec files and those of the scripts; arguments select those
 * whose path contains one of them. Files named `*.alone.spec.ts` measure whole
 * processes: they run one at a time, after all others. Fails if there is none,
 * and if the outcome is another than KNOWN-RED.txt lists.
 */
import {spawnSync} from 'node:child_process';
import {
  existsSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join, relative} from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, isGreen, judge, parseKnownRed} from './known-red.mjs';

const CONCURRENCY = 4;
const root = dirname(dirname(fileURLToPath(import.meta.url)));

/** Returns the folders of all packages. */
function findPackages() {
  const names = readdirSync(join(root, 'packages'));
  return [...names.map(name => join('packages', name)), 'platform'];
}

/** Returns the compiled spec files; skips stale ones, whose source no longer exists. */
function findSpecs() {
  const specs = [];
  for (const folder of findPackages()) {
    const dist = join(root, folder, 'dist');
    if (!existsSync(dist)) continue;
    for (const file of readdirSync(dist, {recursive: true})) {
      const source = join(root, folder, 'src', file.replace(/js$/, 'ts'));
      if (file.endsWith('.spec.js') && existsSync(source))
        specs.push(join(dist, file));
    }
  }
  const scripts = readdirSync(join(root, 'scripts'));
  for (const file of scripts.filter(name => name.endsWith('.spec.mjs')))
    specs.push(join(root, 'scripts', file));
  return specs.sort();
}

/** The source of a compiled spec file, relative to the repository. */
function sourceOf(file) {
  return relative(root, file)
    .replace('/dist/', '/src/')
    .replace(/\.js$/, '.ts');
}

/** Reads what the reporter wrote, without the outcomes of whole files. */
function readOutcomes(path) {
  const lines = existsSync(path) ? readFileSync(path, 'utf8').split('\n') : [];
  const outcomes = lines
    .filter(line => line !== '')
    .map(line => JSON.parse(line));
  const isSound = ({isWholeFile, isPassed, cause}) =>
    isWholeFile && (isPassed || cause === 'subtestsFailed');
  return outcomes
    .filter(outcome => !outcome.isSkipped && !isSound(outcome))
    .map(({name, file, isPassed}) => ({
      key: `${sourceOf(file ?? name)} > ${name}`,
      isPassed,
    }));
}

const pathParts = process.argv.slice(2);
const specs = findSpecs().filter(
  spec => pathParts.length === 0 || pathParts.some(part => spec.includes(part)),
);
if (specs.length === 0) {
  console.error(
    'no compiled spec file matches; build first or check the arguments',
  );
  process.exit(1);
}

/** Runs the files; returns the runner's status and the outcomes of the tests. */
function run(files, concurrency) {
  const folder = mkdtempSync(join(tmpdir(), 'samphirefield-test-'));
  const outcomePath = join(folder, 'outcomes.jsonl');
  const {status} = spawnSync(
    process.execPath,
    [
      '--test',
      '--test-force-exit',
      `--test-concurrency=${concurrency}`,
      '--test-reporter=spec',
      '--test-reporter-destination=stdout',
      `--test-reporter=${join(root, 'scripts', 'outcome-reporter.mjs')}`,
      `--test-reporter-destination=${outcomePath}`,
      ...files,
    ],
    {cwd: root, stdio: 'inherit'},
  );
  const outcomes = readOutcomes(outcomePath);
  rmSync(folder, {recursive: true, force: true});
  return {status, outcomes};
}

const isAlone = spec => spec.includes('.alone.spec.');
const batches = [
  [specs.filter(spec => !isAlone(spec)), CONCURRENCY],
  [specs.filter(isAlone), 1],
];
const runs = batches
  .filter(([files]) => files.length > 0)
  .map(([files, concurrency]) => run(files, concurrency));
const outcomes = runs.flatMap(result => result.outcomes);
const listed = parseKnownRed(readFileSync(join(root, 'KNOWN-RED.txt'), 'utf8'));
const verdict = judge(outcomes, listed, pathParts.length > 0);
for (const line of describe(verdict)) console.log(line);
// A runner that fails without a failed test has stopped early.
const isRunnerSound = runs.every(
  result => result.status === 0 || result.outcomes.some(o => !o.isPassed),
);
process.exit(isGreen(verdict) && isRunnerSound ? 0 : 1);
