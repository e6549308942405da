#!/usr/bin/env node
/** Starts one fake target as a process, for the demo. Prints its URL as JSON. */
import {Command} from 'commander';
import {FakeEngine} from './engine-server.js';
import {FakePlain} from './plain-server.js';

interface Options {
  readonly target: string;
  readonly zone: string;
  readonly service: string;
  readonly daemons: string;
  readonly key: string;
  readonly model?: string;
  readonly cold?: boolean;
}

const program = new Command('fake-target')
  .argument('<kind>', 'engine or plain')
  .requiredOption('--target <id>', 'id of the target')
  .requiredOption('--zone <name>', 'availability zone of the target')
  .requiredOption('--service <name>', 'service of the target')
  .requiredOption(
    '--daemons <urls>',
    'comma-separated internal URLs of daemons',
  )
  .requiredOption('--key <key>', 'key that authenticates targets')
  .option('--model <name>', 'model that the engine holds')
  .option('--cold', 'start the engine cold');
program.parse();
const kind = program.args[0];
const options = program.opts<Options>();
const {target, zone, service, key} = options;
const shared = {
  target,
  zone,
  service,
  key,
  daemons: options.daemons.split(','),
};
const fake =
  kind === 'engine'
    ? await FakeEngine.start({
        ...shared,
        models: options.model ? [{model: options.model, version: '1'}] : [],
        isWarm: options.cold !== true,
      })
    : await FakePlain.start(shared);
process.stdout.write(
  `${JSON.stringify({target, url: fake.url, pid: process.pid})}\n`,
);
process.on('SIGTERM', () => process.exit(0));
process.on('SIGINT', () => process.exit(0));
