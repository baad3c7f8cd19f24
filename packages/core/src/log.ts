import loglevel from 'loglevel';
import type { Diagnostic, Severity } from './diagnostics';
import type { Clock } from './types';

/** Fields of a log line besides its time, number, severity and text. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Logs a numbered event with its fields. */
export type Log = (event: Diagnostic, fields?: LogFields) => void;

/** Receives each formatted line of a log. */
export type LineSink = (line: string) => void;

/** Creates a log of JSON lines for events of `level` and above, each with the `base` fields. */
export function createLog(
  clock: Clock,
  level: Severity | 'silent',
  base: LogFields,
  writeLine: LineSink,
): Log {
  const logger = loglevel.getLogger(`pomeloroad-${String(base.instance ?? '')}`);
  logger.methodFactory = () => writeLine;
  logger.setLevel(level, false);
  return (event, fields) => {
    const line = {
      at: clock.now().toISOString(),
      code: event.code,
      severity: event.severity,
      text: event.text,
      ...base,
      ...fields,
    };
    logger[event.severity](JSON.stringify(line));
  };
}

/** Creates a log that drops every event. */
export function createSilentLog(): Log {
  return () => undefined;
}
