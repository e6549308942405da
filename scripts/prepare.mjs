/** Installs missing dependencies and builds, so that a script runs from a fresh clone. */
import {spawnSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));

function run(command, args) {
  const result = spawnSync(command, args, {
    cwd: root,
    stdio: ['ignore', 2, 2],
  });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

if (!existsSync(join(root, 'node_modules', 'typescript'))) run('npm', ['ci']);
run(process.execPath, [join(root, 'node_modules/typescript/bin/tsc'), '-b']);
