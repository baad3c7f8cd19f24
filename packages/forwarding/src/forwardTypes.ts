import type { Clock, Log, Random } from '@pomeloroad/core';
import type { Escrow } from '@pomeloroad/budgets';
import type { Admission } from '@pomeloroad/routing';
import type { EndpointDirectory } from './endpointDirectory';
import type { EndpointState } from './endpointState';
import type { EndStatements } from './endStatements';
import type { ForwardMetrics } from './forwardMetrics';
import type { RecentEnds } from './recentEnds';
import type { StreamOrigins } from './streamOrigins';
import type { RateLimits } from './rateLimits';
import type { Suspects } from './suspects';
import type { RetryBudget } from './retryBudget';
import type { EndpointProtocol, ForwardService } from './types';

/** Dependencies of forwarding a request. */
export interface ForwardHost<Payload> {
  clock: Clock;
  random: Random;
  log: Log;
  escrow: Escrow;
  admission: Admission;
  directory: EndpointDirectory;
  retryBudget: RetryBudget;
  protocol: EndpointProtocol<Payload>;
  metrics: ForwardMetrics;
  endStatements: EndStatements;
  recentEnds: RecentEnds;
  /** Returns what is known of the endpoint of this name. */
  getEndpointState(name: string): EndpointState;
  /** Returns the version of the configuration in force; `undefined` while none is known. */
  getConfigurationVersion(): number | undefined;
  origins: StreamOrigins;
  suspects: Suspects;
  rateLimits: RateLimits;
  findService(name: string): ForwardService | undefined;
  /** Resolves at once, or after a pause of the process once the store is read again. */
  waitForRefresh(): Promise<void>;
}
