import loglevel from 'loglevel';
import type { Diagnostic, Severity } from './diagnostics';
import type { Clock } from './types';

/** Fields of a log event besides its number and text. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes numbered events. */
export type Log = (event: Diagnostic, fields?: LogFields) => void;

/** Where a log's lines go. */
export type WriteLine = (line: string) => void;

/** A log of JSON lines at the given level and above. */
export function createLog(
  clock: Clock,
  level: Severity | 'silent',
  base: LogFields,
  writeLine: WriteLine,
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

/** A log that drops every event. */
export function createSilentLog(): Log {
  return () => undefined;
}
