import loglevel from 'loglevel';
import { match } from 'ts-pattern';
import type { Diagnostic, Severity } from './diagnostics';
import type { Clock } from './types';

/** Fields of a log line besides its time, number, severity and text. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Whether a line has to survive load. */
export type Importance = 'ordinary' | 'important';

/** Logs a numbered event with its fields. Its severity decides how important it is, unless that is given. */
export type Log = (event: Diagnostic, fields?: LogFields, importance?: Importance) => void;

/** Receives each formatted line of a log. */
export type LineSink = (line: string, importance: Importance) => void;

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
  return (event, fields, importance = getImportance(event)) => {
    const line = {
      at: clock.now().toISOString(),
      code: event.code,
      severity: event.severity,
      text: event.text,
      ...base,
      ...fields,
    };
    logger[event.severity](JSON.stringify(line), importance);
  };
}

function getImportance({ severity }: Diagnostic): Importance {
  return match(severity)
    .with('error', 'warn', () => 'important' as const)
    .with('info', 'debug', () => 'ordinary' as const)
    .exhaustive();
}

/** Creates a log that drops every event. */
export function createSilentLog(): Log {
  return () => undefined;
}
