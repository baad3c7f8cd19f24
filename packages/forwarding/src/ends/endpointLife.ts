import { setMaxListeners } from 'node:events';
import type { Milliseconds, PauseGuard } from '@pomeloroad/core';
import type { EndpointRecord } from '../types';
import { createIncarnationLife } from './incarnationLife';
import type {
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
    Pick<IncarnationLifeHost, 'clock' | 'probe' | 'directory'>,
    Pick<PauseGuard, 'getHeldUpTime'> {}

/** What becomes of endpoints after the ends that they have stated. */
export interface EndpointLife {
  /** Returns the time, without that for which this process was held up and read nothing. */
  getTime(): Milliseconds;
  /** Returns where to note what is seen of the incarnation. */
  getSigns(endpoint: EndpointRecord): LifeSigns;
  /**
   * Resolves to what became of the endpoint after a stream has ended just now; `unknown` after `patience`, or once
   * the signal is aborted. Whoever waits at the same time learns of the same signs and questions.
   */
  learn(
    endpoint: EndpointRecord,
    patience: Milliseconds,
    signal: AbortSignal,
  ): Promise<LifeVerdict>;
  /** Lets all that wait be told at once what can be learned now, as the instance stops. */
  hurry(): void;
}

/** Starts to watch endpoints of which nothing is known. */
export function createEndpointLife({ getHeldUpTime, ...base }: EndpointLifeHost): EndpointLife {
  const { clock } = base;
  const lives = new Map<string, IncarnationLife>();
  const hurrying = new AbortController();
  setMaxListeners(INCARNATIONS_MAX, hurrying.signal);
  const getTime = () => clock.elapsed() - getHeldUpTime();
  const host = { ...base, getTime, hurry: hurrying.signal };

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
    getSigns: find,
    learn: (endpoint, patience, signal) => find(endpoint).learn(patience, signal),
    hurry: () => hurrying.abort(),
  };
}
