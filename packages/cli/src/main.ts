/** The operators' command line. */
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
  3 conflict        4 no entry answered    5 key refused
  6 accepted, but not confirmed everywhere in time

Examples:
  samphirefield check rules.txt
  samphirefield --entry http://10.0.0.1:7401 apply rules.txt
  samphirefield --entry http://10.0.0.1:7401 zone take-out zone-a
  samphirefield --entry http://10.0.0.1:7401 status --json`;

function toRevision(text: string): number {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 0) {
    throw new InvalidArgumentError('a revision is a whole number');
  }
  return value;
}

/** Collects a repeatable option. */
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
      'who gives the command; your user name otherwise',
    )
    .option('--command-id <id>', 'id of the command, to send it again')
    .option('--base-revision <n>', 'revision that you changed from', toRevision)
    .option('--no-wait', 'do not wait until a change is in force everywhere')
    .option('--json', 'print JSON')
    .addHelpText('after', EXAMPLES)
    .exitOverride(error =>
      process.exit(error.exitCode === 0 ? EXIT.done : EXIT.badInput),
    );
}

type Run = (context: CommandContext) => Promise<ExitCode>;

async function withContext(program: Command, run: Run): Promise<void> {
  const context = createContext(program.opts<GlobalOptions>());
  if (typeof context === 'string') {
    process.stderr.write(`${context}\n`);
    process.exitCode = EXIT.badInput;
    return;
  }
  process.exitCode = await run(context);
}

function addServiceState(
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
  add('take-out', true, `give ${noun} no new work; what runs there runs on`);
  add('bring-back', false, `give ${noun} work again`);
}

function addLocal(program: Command): void {
  const isJson = () => program.opts<GlobalOptions>().json === true;
  program
    .command('check <file>')
    .description('check a rules file, without a deployment')
    .action((file: string) => {
      process.exitCode = checkRulesFile(createOutput(isJson()), file);
    });
  program
    .command('settings')
    .description('settings of a daemon')
    .command('check <file>')
    .description('check a settings file, without starting a daemon')
    .action((file: string) => {
      process.exitCode = checkSettings(isJson(), file);
    });
  program
    .command('key')
    .description('API keys')
    .command('hash <key>')
    .description('print the SHA-256 of an API key, for a workspace rule')
    .action((key: string) => {
      process.stdout.write(`${sha256Hex(key)}\n`);
    });
}

function toPositive(text: string): number {
  const value = Number(text);
  if (!(value > 0 && value < 1e9)) {
    throw new InvalidArgumentError('a positive number is expected');
  }
  return value;
}

function addReplay(program: Command): void {
  const output = () =>
    createOutput(program.opts<GlobalOptions>().json === true);
  program
    .command('replay <trace>')
    .description('replay a trace under a policy and check its outcomes')
    .option('--policy <name>', 'the policy', 'samphirefield')
    .option('--seed <n>', 'seed of random choices', toRevision, 1)
    .action(async (file: string, options: ReplayOptions) => {
      process.exitCode = await replayTrace(output(), file, options);
    });
  program
    .command('trace <deployment>')
    .description('print a trace of a deployment, made from a seed')
    .option('--seed <n>', 'the seed', toRevision, 1)
    .option('--rate <n>', 'requests a second', toPositive, 5)
    .option('--seconds <n>', 'its length', toPositive, 60)
    .option('--zone-out', 'take a zone out and bring it back')
    .action(async (deployment: string, options: TraceOptions) => {
      process.exitCode = await makeTrace(output(), deployment, options);
    });
}

function checkSettings(isJson: boolean, file: string): ExitCode {
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
  addLocal(program);
  addReplay(program);
  program
    .command('apply <file>')
    .description('put a rules file in force')
    .option('--dry-run', 'show the difference only')
    .action((file: string, options: {readonly dryRun?: boolean}) =>
      withContext(program, context =>
        applyRulesFile(context, file, options.dryRun === true),
      ),
    );
  addServiceState(program, 'zone', 'an availability zone');
  addServiceState(program, 'target', 'a target');
  program
    .command('status')
    .description('show entries, targets and the revision in force')
    .action(() => withContext(program, showStatus));
  const voters = program.command('voters').description('the control group');
  voters
    .command('list', {isDefault: true})
    .description('show its members')
    .action(() => withContext(program, showVoters));
  voters
    .command('bootstrap')
    .description('form the group, once, before the first use')
    .action(() => withContext(program, bootstrapVoters));
  await program.parseAsync([...argv]);
}
