import type { Clock, Identity, Log, PauseGuard } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import type { BudgetClient } from '@pomeloroad/budgets';
import type { AnswerStore, Claims, RequestRegistry } from '@pomeloroad/requests';
import type { Admission } from '@pomeloroad/routing';
import type { EngineClient } from './engineTypes';
import type { ServiceClient } from './serviceClient';
import type { Settings } from './settings';

/** Dependencies of running a request. */
export interface RunHost {
  clock: Clock;
  log: Log;
  self: Identity;
  settings: Pick<
    Settings,
    'budgetPatience' | 'resumeWindow' | 'stallTimeout' | 'firstByteTimeout' | 'betweenTimeout'
  >;
  budgets: BudgetClient;
  answers: AnswerStore;
  claims: Claims;
  registry: RequestRegistry;
  admission: Admission;
  guard: PauseGuard;
  /** Queries an engine's load if its last report is too old for a new request to be sent. */
  refreshEndpoint(endpoint: Endpoint): Promise<void>;
  engine: EngineClient;
  services: ServiceClient;
}
