import loglevel from 'loglevel';
import type { Diagnostic, Severity } from './diagnostics';
import type { Clock } from './types';

/** Fields of a log event besides its number and text. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes numbered events. */
export type Log = (event: Diagnostic, fields?: LogFields) => void;

/** A log of JSON lines on standard error, at the given level and above. */
export function createLog(clock: Clock, level: Severity | 'silent', base: LogFields): Log {
  const logger = loglevel.getLogger(`pomeloroad-${String(base.instance ?? '')}`);
  // eslint-disable-next-line no-console -- loglevel's own methods go to standard output
  logger.methodFactory = () => console.error;
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
