import { setMaxListeners } from 'node:events';
import type { Milliseconds, PauseGuard } from '@pomeloroad/core';
import type { EndpointRecord } from '../types';
import { createIncarnationLife } from './incarnationLife';
import type {
  HeldEnd,
  IncarnationLife,
  IncarnationLifeHost,
  LifeSigns,
  LifeVerdict,
} from './incarnationLife';

/** Maximum number of incarnations that are remembered; the one that was used longest ago is forgotten first. */
const INCARNATIONS_MAX = 1000;

/** Dependencies of learning what becomes of endpoints. */
export interface EndpointLifeHost
  extends
    Omit<IncarnationLifeHost, 'getTime' | 'getOpeningTime' | 'hurry'>,
    Pick<PauseGuard, 'getHeldUpTime'> {}

/** What becomes of endpoints after the ends that they have stated. */
export interface EndpointLife {
  /** Returns the time, without that for which this process was held up and read nothing. */
  getTime(): Milliseconds;
  /** Returns the time by which the connection was open; it counts as opened when it is first asked about. */
  getOpeningTime(connection: object): Milliseconds;
  /** Returns where to note what is seen of the incarnation. */
  getSigns(endpoint: EndpointRecord): LifeSigns;
  /**
   * Resolves to what became of the endpoint after a stream has ended just now; `unknown` after its patience, or once
   * the signal is aborted. Whoever waits at the same time learns of the same signs and questions.
   */
  learn(endpoint: EndpointRecord, end: HeldEnd, signal: AbortSignal): Promise<LifeVerdict>;
  /** Lets all that wait be told at once what can be learned now, as the instance stops. */
  hurry(): void;
}

/** Starts to watch endpoints of which nothing is known. */
export function createEndpointLife({ getHeldUpTime, ...base }: EndpointLifeHost): EndpointLife {
  const { clock } = base;
  const lives = new Map<string, IncarnationLife>();
  const openingTimes = new WeakMap<object, Milliseconds>();
  const hurrying = new AbortController();
  setMaxListeners(INCARNATIONS_MAX, hurrying.signal);
  const getTime = () => clock.elapsed() - getHeldUpTime();
  const host = { ...base, getTime, getOpeningTime, hurry: hurrying.signal };

  function getOpeningTime(connection: object): Milliseconds {
    const time = openingTimes.get(connection) ?? getTime();
    openingTimes.set(connection, time);
    return time;
  }

  function find(endpoint: EndpointRecord): IncarnationLife {
    const { id, born, version } = endpoint;
    const name = `${id}/${born}/${version}`;
    const life = lives.get(name) ?? createIncarnationLife(host, endpoint);
    lives.delete(name);
    lives.set(name, life);
    const [oldest] = lives.keys();
    if (lives.size > INCARNATIONS_MAX && oldest !== undefined) lives.delete(oldest);
    return life;
  }

  return {
    getTime,
    getOpeningTime,
    getSigns: find,
    learn: (endpoint, end, signal) => find(endpoint).learn(end, signal),
    hurry: () => hurrying.abort(),
  };
}
