import { match } from 'ts-pattern';
import { withTimeout } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { EndpointDirectory } from '../store/endpointDirectory';
import { getName } from '../store/endpointRecords';
import type { EndpointProtocol, EndpointRecord } from '../types';

/** Time for which the entries of endpoints are read again. */
const REREAD_TIME_MS: Milliseconds = 500;

/** What a question brings out; `untold` if something answers at the address that does not tell what it is. */
export type Finding = 'lives' | 'ended' | 'untold' | 'unknown';

/** Dependencies of asking for an incarnation. */
export interface IncarnationQuestionHost {
  clock: Clock;
  protocol: Pick<EndpointProtocol<unknown>, 'probe' | 'identify' | 'listIdle'>;
  directory: Pick<EndpointDirectory, 'getFate' | 'find' | 'noteOther'>;
  /** Reads the entries of all endpoints again; false if that failed. */
  refreshEndpoints(): Promise<boolean>;
}

/** What can be asked for an incarnation. */
export interface IncarnationQuestion {
  /** Whether its entry tells its start, so that the next incarnation may have the same id. */
  hasStart: boolean;
  ask(): Promise<Finding>;
  /** Asks whether anything answers at its address. */
  askAddress(): Promise<Finding>;
  /** Whether the entry of a later one is known. */
  hasRestarted(): boolean;
  /** Reads its entry; resolves to whether it has been renewed since, or `undefined` if there is none to be read. */
  readEntry(): Promise<(() => boolean) | undefined>;
}

/** Creates the questions for an incarnation. */
export function createIncarnationQuestion(
  { clock, protocol, directory, refreshEndpoints }: IncarnationQuestionHost,
  endpoint: EndpointRecord,
): IncarnationQuestion {
  const hasStart = endpoint.born > 0;
  const hasRestarted = () => directory.getFate(endpoint) === 'started again';
  const getSequence = () => directory.find(getName(endpoint))?.sequence;

  // Without a start in its entry each incarnation has an id of its own, and the address is not used again at once.
  async function askAddress(): Promise<Finding> {
    return match(await protocol.probe(endpoint))
      .with('accepting', () => 'lives' as const)
      .with('refused', () => 'ended' as const)
      .with('unknown', () => 'unknown' as const)
      .exhaustive();
  }

  async function askIncarnation(): Promise<Finding> {
    const identity = await protocol.identify(endpoint);
    if (identity === 'other') directory.noteOther(endpoint);
    return match(identity)
      .with('same', () => 'lives' as const)
      .with('other', 'refused', () => 'ended' as const)
      .with('untold', () => 'untold' as const)
      .with('unknown', () => 'unknown' as const)
      .exhaustive();
  }

  return {
    hasStart,
    hasRestarted,
    askAddress,
    async ask() {
      const finding = hasStart ? await askIncarnation() : await askAddress();
      return hasRestarted() ? 'ended' : finding;
    },
    async readEntry() {
      const isRead = await withTimeout(clock, REREAD_TIME_MS, refreshEndpoints(), false);
      const sequence = getSequence();
      if (!isRead || sequence === undefined) return undefined;
      return () => (getSequence() ?? sequence) > sequence;
    },
  };
}
