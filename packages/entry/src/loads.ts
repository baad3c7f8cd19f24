import { getOwner } from '@pomeloroad/core';
import type { Identity, Milliseconds } from '@pomeloroad/core';
import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { Endpoint } from '@pomeloroad/configuration';
import type { Endpoints, LoadReport } from '@pomeloroad/routing';
import type { Engine } from './engine';

const SHARE_TIMEOUT_MS: Milliseconds = 1000;

const loadsTopic = createTopic<Record<string, LoadReport>>('routing.loads');

/** What load collection needs from its surroundings. */
export interface LoadsHost {
  self: Identity;
  network: PeerNetwork;
  engine: Engine;
  endpoints: Endpoints;
  getLocalInstances(): string[];
}

/** Collects load reports: each endpoint is asked by one instance of its data centre. */
export interface Loads {
  poll(): Promise<void>;
}

/** Creates the collection and takes the reports of the other instances. */
export function createLoads(host: LoadsHost): Loads {
  const { self, network, engine, endpoints } = host;
  network.handle(loadsTopic, async (_from, reports) => takeReports(reports));

  function takeReports(reports: Record<string, LoadReport>): void {
    Object.entries(reports).forEach(([name, report]) => endpoints.report(name, report));
  }

  function isOwn(endpoint: Endpoint, locals: string[]): boolean {
    if (endpoint.kind !== 'engine' || endpoint.dataCentre !== self.dataCentre) return false;
    return getOwner(endpoint.name, locals) === self.instance;
  }

  return {
    async poll() {
      const locals = host.getLocalInstances();
      const own = endpoints
        .list()
        .map((view) => view.endpoint)
        .filter((e) => isOwn(e, locals));
      const reports: Record<string, LoadReport> = {};
      await Promise.all(
        own.map(async ({ name, address }) => {
          const report = await engine.getLoad(address);
          if (report.ok) reports[name] = report.val;
        }),
      );
      takeReports(reports);
      if (Object.keys(reports).length === 0) return;
      const others = locals.filter((instance) => instance !== self.instance);
      const calls = others.map((peer) => network.call(peer, loadsTopic, reports, SHARE_TIMEOUT_MS));
      await Promise.all(calls);
    },
  };
}
