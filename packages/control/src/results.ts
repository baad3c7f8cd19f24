import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import type { Outcome } from '@pomeloroad/core';
import type { ConfigurationFault } from '@pomeloroad/configuration';
import { callOperatorsInterface } from './client';
import type { OperatorAnswer, OperatorTarget } from './client';
import { createFailure, ExitCode } from './output';
import type { CommandResult, ExitStatus } from './output';

/** Reads a path of the operators' interface; the error is the command's result. */
export async function fetchParsed<T>(
  target: OperatorTarget,
  path: string,
  schema: z.ZodType<T>,
): Promise<Outcome<T, CommandResult>> {
  const answer = await callOperatorsInterface(target, 'GET', path);
  if (answer.err) return Err(createFailure(ExitCode.unavailable, answer.val));
  if (answer.val.status !== 200) return Err(reportError(answer.val));
  const parsed = schema.safeParse(answer.val.body);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    createFailure(ExitCode.failure, `unexpected answer: ${z.prettifyError(parsed.error)}`),
  );
}

/** Reports each fault of a configuration file with its place. */
export function reportFaults(path: string, faults: ConfigurationFault[]): CommandResult {
  const lines = faults.map(({ line, column, path: place, message }) => {
    const where = place === '' ? '' : `${place}: `;
    return `${path}:${line}:${column}: ${where}${message}`;
  });
  return createFailure(ExitCode.invalid, lines.join('\n'), { faults });
}

/** Reports an error that an instance answered. */
export function reportError({ status, body }: OperatorAnswer): CommandResult {
  const parsed = z.object({ error: z.object({ message: z.string() }) }).safeParse(body);
  const message = parsed.success ? parsed.data.error.message : `status ${status}`;
  return createFailure(getExitStatus(status), message, body);
}

function getExitStatus(status: number): ExitStatus {
  if (status === 409) return ExitCode.conflict;
  if (status >= 500) return ExitCode.unavailable;
  return ExitCode.failure;
}
