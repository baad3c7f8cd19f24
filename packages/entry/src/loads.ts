import { getOwner } from '@pomeloroad/core';
import type { Identity, Milliseconds } from '@pomeloroad/core';
import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { Endpoint } from '@pomeloroad/configuration';
import type { Endpoints, LoadReport } from '@pomeloroad/routing';
import type { EngineClient } from './engineClient';

const SHARE_TIMEOUT_MS: Milliseconds = 1000;

/** Load reports by endpoint. */
type Reports = Record<string, LoadReport>;

const loadsTopic = createTopic<Reports>('routing.loads');

/** What load collection needs from its surroundings. */
export interface LoadsHost {
  self: Identity;
  network: PeerNetwork;
  engine: EngineClient;
  endpoints: Endpoints;
  getLocalInstances(): string[];
  /** Connected instances of other data centres. */
  getOtherInstances(): string[];
}

/** Collects load reports: each endpoint is asked by one instance of its data centre. */
export interface Loads {
  poll(): Promise<void>;
  /** Asks an engine itself if its last report is old, as for one of another data centre. */
  refresh(endpoint: Endpoint): Promise<void>;
}

/** Creates the collection and takes the reports of the other instances. */
export function createLoads(host: LoadsHost): Loads {
  const { self, network, engine, endpoints } = host;
  network.handle(loadsTopic, async (_from, reports) => takeReports(reports));

  function takeReports(reports: Reports): void {
    Object.entries(reports).forEach(([name, report]) => endpoints.report(name, report));
  }

  function isOwn(endpoint: Endpoint, locals: string[]): boolean {
    if (endpoint.kind !== 'engine' || endpoint.dataCentre !== self.dataCentre) return false;
    return getOwner(endpoint.name, locals) === self.instance;
  }

  async function share(instances: string[], reports: Reports): Promise<void> {
    if (Object.keys(reports).length === 0) return;
    const others = instances.filter((instance) => instance !== self.instance);
    const calls = others.map((peer) => network.call(peer, loadsTopic, reports, SHARE_TIMEOUT_MS));
    await Promise.all(calls);
  }

  return {
    async refresh({ name, kind, address }) {
      if (kind !== 'engine' || !endpoints.isStale(name)) return;
      const report = await engine.getLoad(address);
      if (report.ok) endpoints.report(name, report.val);
    },
    async poll() {
      const locals = host.getLocalInstances();
      const own = endpoints
        .list()
        .map((view) => view.endpoint)
        .filter((e) => isOwn(e, locals));
      const reports: Reports = {};
      await Promise.all(
        own.map(async ({ name, address }) => {
          const report = await engine.getLoad(address);
          if (report.ok) reports[name] = report.val;
        }),
      );
      takeReports(reports);
      await share(locals, reports);
      await share(host.getOtherInstances(), pickLeaving(reports));
    },
  };
}

// Other data centres send work here only when theirs are full, but never to one that leaves.
function pickLeaving(reports: Reports): Reports {
  const leaving = Object.entries(reports).filter(([, report]) => report.state === 'leaving');
  return Object.fromEntries(leaving);
}
