import Table from 'cli-table3';

/** Exit codes of `pomeloctl`. */
export const ExitCode = {
  success: 0,
  failure: 1,
  /** A flag, an argument or a file name is wrong. */
  usage: 2,
  /** The change conflicts with another one. */
  conflict: 3,
  /** The instance did not answer or could not complete the command. */
  unavailable: 4,
  /** The configuration file has faults. */
  invalid: 5,
  /** The audit found tokens that are not accounted for. */
  auditFault: 6,
} as const;

/** A value of `ExitCode`. */
export type ExitStatus = (typeof ExitCode)[keyof typeof ExitCode];

/** The output of a command and the exit code of the program. */
export interface CommandResult {
  status: ExitStatus;
  /** Output in the default, readable form. */
  text: string;
  /** Output with `--json`. */
  data: unknown;
}

/** Formats rows as aligned columns under a head, without borders; `(none)` if there are no rows. */
export function formatTable(head: string[], rows: (string | number)[][]): string {
  if (rows.length === 0) return '(none)';
  const table = new Table({
    head,
    chars: BORDERLESS_CHARS,
    style: { head: [], border: [], compact: true },
  });
  rows.forEach((row) => table.push(row.map(String)));
  return table.toString();
}

const BORDERLESS_CHARS = {
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

/** Creates the result of a command that succeeded. */
export function createSuccess(text: string, data: unknown): CommandResult {
  return { status: ExitCode.success, text, data };
}

/** Creates the result of a command that failed. */
export function createFailure(
  status: ExitStatus,
  text: string,
  data: unknown = { error: text },
): CommandResult {
  return { status, text, data };
}
