/** The command line of the daemon. */
import {Command} from 'commander';
import {
  createLogger,
  formatSettingsError,
  installLogWriter,
  loadSettings,
  type Settings,
} from '@samphirefield/core';
import {startDaemon} from './daemon.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED_START = 3;

async function run(settings: Settings): Promise<void> {
  installLogWriter(settings.log.level, line =>
    process.stderr.write(`${line}\n`),
  );
  const logger = createLogger({instance: settings.instance.id});
  const started = await startDaemon(settings, logger);
  if (started.isErr()) {
    logger.error('start_failed', {reason: started.error});
    process.exitCode = EXIT_FAILED_START;
    return;
  }
  const daemon = started.value;
  logger.info('started', {
    callers: `${daemon.callers.address}:${daemon.callers.port}`,
    internal: `${daemon.internal.address}:${daemon.internal.port}`,
    zone: settings.instance.zone,
    voter: settings.voter !== undefined,
  });
  let isStopping = false;
  const onSignal = (signal: string) => {
    logger.info('signal', {signal});
    if (isStopping) return;
    isStopping = true;
    void daemon.drain().then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

export async function main(argv: readonly string[]): Promise<void> {
  const program = new Command('samphirefieldd')
    .description('The daemon of a samphirefield deployment')
    .requiredOption('--settings <file>', 'settings file in TOML')
    .exitOverride(error =>
      process.exit(error.exitCode === 0 ? 0 : EXIT_BAD_SETTINGS),
    )
    .addHelpText(
      'after',
      '\nExample:\n  samphirefieldd --settings /etc/samphirefield/entry-1.toml',
    );
  program.parse([...argv]);
  const {settings: file} = program.opts<{settings: string}>();
  const settings = loadSettings(file);
  if (settings.isErr()) {
    process.stderr.write(`${formatSettingsError(settings.error)}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  await run(settings.value);
}
