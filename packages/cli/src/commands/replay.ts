/** `samphirefield replay` and `samphirefield trace`: replay and generate traces. */
import {readFileSync} from 'node:fs';
import {
  EXIT,
  formatTable,
  print,
  type ExitCode,
  type Output,
} from '../output/index.js';

export interface ReplayOptions {
  readonly policy: string;
  readonly seed: number;
}

export interface TraceOptions {
  readonly seed: number;
  readonly rate: number;
  readonly seconds: number;
  readonly zoneOut?: boolean;
}

/** Imports the simulator on first use; the other commands do not need it. */
const loadReplay = () => import('@samphirefield/replay');

export async function replayTrace(
  output: Output,
  file: string,
  options: ReplayOptions,
): Promise<ExitCode> {
  const {checkOutcomes, parseTrace, POLICIES, replay} = await loadReplay();
  if (!Object.hasOwn(POLICIES, options.policy)) {
    output.error(
      `unknown policy '${options.policy}'; known policies: ${Object.keys(POLICIES).join(', ')}`,
    );
    return EXIT.badInput;
  }
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    output.error(
      `${file}: cannot be read (${(error as NodeJS.ErrnoException).code})`,
    );
    return EXIT.badInput;
  }
  const trace = parseTrace(text);
  if (trace.isErr()) {
    output.error(`${file}:${trace.error.line}: ${trace.error.message}`);
    return EXIT.badInput;
  }
  const policy = options.policy as keyof typeof POLICIES;
  const figures = await replay(trace.value, policy, options.seed);
  const checks = checkOutcomes(trace.value.head, figures);
  const areAllMet = checks.every(check => check.isMet);
  print(output, {policy, seed: options.seed, figures, checks}, () => [
    ...formatTable(
      ['figure', 'value'],
      Object.entries(figures).map(([name, value]) => [
        name,
        `${Math.round(Number(value) * 100) / 100}`,
      ]),
    ),
    '',
    ...formatTable(
      ['outcome', 'bound', 'measured', 'met'],
      checks.map(check => [
        check.name,
        `${check.bound}`,
        `${check.found}`,
        check.isMet ? 'yes' : 'NO',
      ]),
    ),
  ]);
  return areAllMet ? EXIT.done : EXIT.failed;
}

export async function makeTrace(
  output: Output,
  deployment: string,
  options: TraceOptions,
): Promise<ExitCode> {
  const {formatTrace, generateTrace, DEPLOYMENT_MIXES} = await loadReplay();
  if (!Object.hasOwn(DEPLOYMENT_MIXES, deployment)) {
    output.error(
      `unknown deployment '${deployment}'; known deployments: ${Object.keys(DEPLOYMENT_MIXES).join(', ')}`,
    );
    return EXIT.badInput;
  }
  const MS_PER_S = 1_000;
  const trace = generateTrace({
    deployment: deployment as keyof typeof DEPLOYMENT_MIXES,
    seed: options.seed,
    requestsPerS: options.rate,
    durationMs: options.seconds * MS_PER_S,
    hasZoneOut: options.zoneOut === true,
  });
  output.line(formatTrace(trace).trimEnd());
  return EXIT.done;
}
