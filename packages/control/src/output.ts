import Table from 'cli-table3';

/** Exit codes of pomeloctl. */
export const ExitCode = {
  success: 0,
  failure: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
  invalid: 5,
  auditFault: 6,
} as const;

/** One exit code. */
export type ExitStatus = (typeof ExitCode)[keyof typeof ExitCode];

/** What a command prints and how the program ends. */
export interface CommandResult {
  status: ExitStatus;
  /** For people. */
  text: string;
  /** For programs. */
  data: unknown;
}

/** Formats rows as a plain table with a head. */
export function formatTable(head: string[], rows: (string | number)[][]): string {
  if (rows.length === 0) return '(none)';
  const table = new Table({
    head,
    chars: PLAIN_CHARS,
    style: { head: [], border: [], compact: true },
  });
  rows.forEach((row) => table.push(row.map(String)));
  return table.toString();
}

const PLAIN_CHARS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

/** A result that ends the program well. */
export function succeed(text: string, data: unknown): CommandResult {
  return { status: ExitCode.success, text, data };
}

/** A result that reports an error. */
export function fail(
  status: ExitStatus,
  text: string,
  data: unknown = { error: text },
): CommandResult {
  return { status, text, data };
}
