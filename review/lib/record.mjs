/** The record of a script: what was sent, answered and run, with times. */
import {writeFileSync, appendFileSync} from 'node:fs';
import {join} from 'node:path';

export function openRecord(folder) {
  const file = join(folder, 'record.txt');
  const startedAtMs = performance.now();
  writeFileSync(file, '');
  return line => {
    const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
    const text = `${seconds.padStart(8)} ${line}\n`;
    appendFileSync(file, text);
    process.stdout.write(text);
  };
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
