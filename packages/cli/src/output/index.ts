/** Exit codes and output functions shared by all commands. */

export const EXIT = {
  done: 0,
  failed: 1,
  badInput: 2,
  conflict: 3,
  unreachable: 4,
  unauthorized: 5,
  notYetActive: 6,
} as const;
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

export interface Output {
  readonly isJson: boolean;
  readonly line: (text: string) => void;
  readonly error: (text: string) => void;
}

export function createOutput(isJson: boolean): Output {
  return {
    isJson,
    line: text => process.stdout.write(`${text}\n`),
    error: text => process.stderr.write(`${text}\n`),
  };
}

/** Prints a value as JSON, or the lines that `toLines` returns. */
export function print(
  output: Output,
  value: unknown,
  toLines: () => readonly string[],
): void {
  if (output.isJson) output.line(JSON.stringify(value));
  else for (const line of toLines()) output.line(line);
}

/** Formats a header and rows as aligned columns. */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string[] {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map(row => row[column]?.length ?? 0)),
  );
  return all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join('  ')
      .trimEnd(),
  );
}
