/** The operators' command line: its commands, options and help texts. */
import {Command, InvalidArgumentError} from 'commander';
import {
  formatSettingsError,
  loadSettings,
  sha256Hex,
} from '@samphirefield/core';
import {
  applyRulesFile,
  bootstrapVoters,
  changeServiceState,
  checkRulesFile,
  createContext,
  makeTrace,
  replayTrace,
  showStatus,
  showVoters,
  type CommandContext,
  type GlobalOptions,
  type ReplayOptions,
  type TraceOptions,
} from './commands/index.js';
import {createOutput, EXIT, print, type ExitCode} from './output/index.js';

const EXAMPLES = `
Exit codes:
  0 done            1 failed               2 bad input
  3 conflict        4 no entry responded   5 key rejected
  6 accepted, but not confirmed everywhere in time

Examples:
  samphirefield check rules.txt
  samphirefield --entry http://10.0.0.1:7401 apply rules.txt
  samphirefield --entry http://10.0.0.1:7401 zone take-out zone-a
  samphirefield --entry http://10.0.0.1:7401 status --json`;

function parseWholeNumber(text: string): number {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 0) {
    throw new InvalidArgumentError('expected a whole number of at least 0');
  }
  return value;
}

/** Collects the values of a repeatable option. */
function collect(
  value: string,
  earlier: readonly string[] | undefined,
): string[] {
  return [...(earlier ?? []), value];
}

function createProgram(): Command {
  return new Command('samphirefield')
    .description('Operates a samphirefield deployment')
    .option(
      '--entry <url>',
      'internal URL of an entry; repeat for more (SAMPHIREFIELD_ENTRIES)',
      collect,
    )
    .option('--key <key>', "the operators' key (SAMPHIREFIELD_OPERATOR_KEY)")
    .option(
      '--operator <name>',
      'name of the operator who gives the command; your user name by default',
    )
    .option(
      '--command-id <id>',
      'id of the command; set it to resend a command',
    )
    .option(
      '--base-revision <n>',
      'revision that the change is based on',
      parseWholeNumber,
    )
    .option('--no-wait', 'do not wait until a change is active everywhere')
    .option('--json', 'print JSON')
    .addHelpText('after', EXAMPLES)
    .exitOverride(error =>
      process.exit(error.exitCode === 0 ? EXIT.done : EXIT.badInput),
    );
}

type CommandAction = (context: CommandContext) => Promise<ExitCode>;

async function withContext(
  program: Command,
  action: CommandAction,
): Promise<void> {
  const context = createContext(program.opts<GlobalOptions>());
  if (typeof context === 'string') {
    process.stderr.write(`${context}\n`);
    process.exitCode = EXIT.badInput;
    return;
  }
  process.exitCode = await action(context);
}

function addServiceStateCommands(
  program: Command,
  kind: 'zone' | 'target',
  noun: string,
): void {
  const group = program
    .command(kind)
    .description(`take ${noun} out of service and bring it back`);
  const add = (verb: string, isOut: boolean, help: string) => {
    group
      .command(`${verb} <name>`)
      .description(help)
      .option('--unseen', 'allow a name that no daemon has seen')
      .action((name: string, options: {readonly unseen?: boolean}) =>
        withContext(program, context =>
          changeServiceState(
            context,
            kind,
            name,
            isOut,
            options.unseen === true,
          ),
        ),
      );
  };
  add(
    'take-out',
    true,
    `send no new work to ${noun}; work that runs there continues`,
  );
  add('bring-back', false, `send work to ${noun} again`);
}

function addLocalCommands(program: Command): void {
  const isJson = () => program.opts<GlobalOptions>().json === true;
  program
    .command('check <file>')
    .description('check a rules file without contacting a deployment')
    .action((file: string) => {
      process.exitCode = checkRulesFile(createOutput(isJson()), file);
    });
  program
    .command('settings')
    .description('commands for the settings of a daemon')
    .command('check <file>')
    .description('check a settings file without starting a daemon')
    .action((file: string) => {
      process.exitCode = checkSettingsFile(isJson(), file);
    });
  program
    .command('key')
    .description('commands for API keys')
    .command('hash <key>')
    .description('print the SHA-256 of an API key, for a workspace rule')
    .action((key: string) => {
      process.stdout.write(`${sha256Hex(key)}\n`);
    });
}

function parsePositiveNumber(text: string): number {
  const value = Number(text);
  if (!(value > 0 && value < 1e9)) {
    throw new InvalidArgumentError('expected a positive number below 1e9');
  }
  return value;
}

function addReplayCommands(program: Command): void {
  const output = () =>
    createOutput(program.opts<GlobalOptions>().json === true);
  program
    .command('replay <trace>')
    .description('replay a trace under a policy and check its outcomes')
    .option('--policy <name>', 'name of the policy', 'samphirefield')
    .option('--seed <n>', 'seed of the random choices', parseWholeNumber, 1)
    .action(async (file: string, options: ReplayOptions) => {
      process.exitCode = await replayTrace(output(), file, options);
    });
  program
    .command('trace <deployment>')
    .description('print a trace of a deployment, generated from a seed')
    .option('--seed <n>', 'seed of the trace', parseWholeNumber, 1)
    .option('--rate <n>', 'requests per second', parsePositiveNumber, 5)
    .option(
      '--seconds <n>',
      'length of the trace in seconds',
      parsePositiveNumber,
      60,
    )
    .option('--zone-out', 'take a zone out of service and bring it back')
    .action(async (deployment: string, options: TraceOptions) => {
      process.exitCode = await makeTrace(output(), deployment, options);
    });
}

function checkSettingsFile(isJson: boolean, file: string): ExitCode {
  const settings = loadSettings(file);
  if (settings.isErr()) {
    process.stderr.write(`${formatSettingsError(settings.error)}\n`);
    return EXIT.badInput;
  }
  const {id, zone} = settings.value.instance;
  print(createOutput(isJson), {valid: true, id, zone}, () => [
    `${file}: instance ${id} in ${zone}`,
  ]);
  return EXIT.done;
}

export async function main(argv: readonly string[]): Promise<void> {
  const program = createProgram();
  addLocalCommands(program);
  addReplayCommands(program);
  program
    .command('apply <file>')
    .description('apply a rules file')
    .option('--dry-run', 'only show the difference')
    .action((file: string, options: {readonly dryRun?: boolean}) =>
      withContext(program, context =>
        applyRulesFile(context, file, options.dryRun === true),
      ),
    );
  addServiceStateCommands(program, 'zone', 'an availability zone');
  addServiceStateCommands(program, 'target', 'a target');
  program
    .command('status')
    .description('show entries, targets and the active revision')
    .action(() => withContext(program, showStatus));
  const voters = program
    .command('voters')
    .description('show or form the control group');
  voters
    .command('list', {isDefault: true})
    .description('show the members of the control group')
    .action(() => withContext(program, showVoters));
  voters
    .command('bootstrap')
    .description('form the control group, once, before the first use')
    .action(() => withContext(program, bootstrapVoters));
  await program.parseAsync([...argv]);
}
