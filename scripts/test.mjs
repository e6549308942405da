/**
 * Runs the compiled spec files; arguments select those whose path contains one of
 * them. Fails if there is none.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

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
  return specs.sort();
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
const result = spawnSync(
  process.execPath,
  [
    '--test',
    '--test-force-exit',
    `--test-concurrency=${CONCURRENCY}`,
    ...specs,
  ],
  {cwd: root, stdio: 'inherit'},
);
process.exit(result.status ?? 1);
