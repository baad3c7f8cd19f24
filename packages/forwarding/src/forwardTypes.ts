import type { Clock, Log, Milliseconds, Random } from '@pomeloroad/core';
import type { Escrow } from '@pomeloroad/budgets';
import type { Admission, Endpoints } from '@pomeloroad/routing';
import type { ServiceTroubles } from './copies/serviceTroubles';
import type { EndpointDirectory } from './store/endpointDirectory';
import type { EndpointState } from './store/endpointState';
import type { CloseHistory } from './ends/closeHistory';
import type { EndHistory } from './ends/endHistory';
import type { EndpointLife } from './ends/endpointLife';
import type { ForwardMetrics } from './forwardMetrics';
import type { PauseHistory } from './ends/pauseHistory';
import type { RecentEnds } from './ends/recentEnds';
import type { StreamOrigins } from './origins/streamOrigins';
import type { StatedLimits } from './limits/statedLimits';
import type { Suspects } from './suspects/suspects';
import type { RetryBudget } from './limits/retryBudget';
import type { EndpointProtocol, EndpointRecord, ForwardService } from './types';

/** Dependencies of forwarding a request. */
export interface ForwardHost<Payload> {
  clock: Clock;
  random: Random;
  log: Log;
  /** Data centre of this instance. */
  dataCentre: string;
  escrow: Escrow;
  admission: Admission;
  directory: EndpointDirectory;
  retryBudget: RetryBudget;
  protocol: EndpointProtocol<Payload>;
  metrics: ForwardMetrics;
  endHistory: EndHistory;
  closeHistory: CloseHistory;
  endpointLife: EndpointLife;
  recentEnds: RecentEnds;
  pauseHistory: PauseHistory;
  /** Returns what is known of the endpoint of this name. */
  getEndpointState(name: string): EndpointState;
  /** Returns the version of the configuration in force; `undefined` while none is known. */
  getConfigurationVersion(): number | undefined;
  serviceTroubles: Pick<ServiceTroubles, 'has'>;
  origins: StreamOrigins;
  suspects: Suspects;
  endpoints: Pick<Endpoints, 'pause' | 'findCandidates'>;
  rateLimits: StatedLimits;
  slotShares: StatedLimits;
  /** Tries this instance's path to a silent endpoint; requests go other ways if it hangs. */
  checkPath(endpoint: EndpointRecord): Promise<void>;
  findService(name: string): ForwardService | undefined;
  /** Returns the age of the knowledge of endpoints; infinite before the first reading. */
  getViewAge(): Milliseconds;
  /** Reads the entries of all endpoints again, once for all that ask meanwhile; false if the store failed. */
  refreshEndpoints(): Promise<boolean>;
  /** Returns for how long the process was held up in all. */
  getHeldUpTime(): Milliseconds;
  /** Resolves at once, or after a pause of the process once the store is read again. */
  waitForRefresh(): Promise<void>;
}
