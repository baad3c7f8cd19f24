import type { Clock, Identity, Log, PauseGuard } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import type { BudgetClient } from '@pomeloroad/budgets';
import type { AnswerStore, Claims, RequestRegistry } from '@pomeloroad/requests';
import type { Admission } from '@pomeloroad/routing';
import type { Engine } from './engine';
import type { ServiceClient } from './serviceClient';
import type { Settings } from './settings';

/** What running a request needs from its surroundings. */
export interface RunHost {
  clock: Clock;
  log: Log;
  self: Identity;
  settings: Pick<
    Settings,
    'budgetPatience' | 'resumeWindow' | 'firstByteTimeout' | 'betweenTimeout'
  >;
  budgets: BudgetClient;
  answers: AnswerStore;
  claims: Claims;
  registry: RequestRegistry;
  admission: Admission;
  guard: PauseGuard;
  /** Asks an engine for its state if the last report is too old to send it anything new. */
  refreshEndpoint(endpoint: Endpoint): Promise<void>;
  engine: Engine;
  services: ServiceClient;
}
