/** Names of the faults that a replay can inject. */
export const FaultNames = [
  'partition',
  'platform-cut',
  'platform-slow',
  'lost-answers',
  'router-death',
  'pause',
  'silent',
  'retries',
  'topup-during-partition',
  'conflicting-applies',
  'endpoint-leaving',
  'rolling-restart',
] as const;

/** Name of a fault. */
export type Fault = (typeof FaultNames)[number];

/** Parses `none`, `all` or comma-separated names of faults; `undefined` if a name is unknown. */
export function parseFaults(text: string): Fault[] | undefined {
  if (text === 'none') return [];
  if (text === 'all') return [...FaultNames];
  const names = text.split(',');
  const known = FaultNames.filter((name) => names.includes(name));
  return known.length === names.length ? known : undefined;
}
