import { getOwner } from '@pomeloroad/core';
import type { Identity, Milliseconds } from '@pomeloroad/core';
import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { Endpoint } from '@pomeloroad/configuration';
import type { Endpoints, LoadReport } from '@pomeloroad/routing';
import type { EngineClient } from './engineTypes';

const SEND_TIMEOUT_MS: Milliseconds = 1000;

/** Load reports by endpoint. */
type Reports = Record<string, LoadReport>;

const loadsTopic = createTopic<Reports>('routing.loads');

/** Dependencies of the load collector. */
export interface LoadCollectorHost {
  self: Identity;
  network: PeerNetwork;
  engine: EngineClient;
  endpoints: Endpoints;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
  /** Connected instances of other data centres. */
  getOtherInstances(): string[];
}

/** Collects the load reports of engines; one instance of the data centre asks each engine. */
export interface LoadCollector {
  /** Asks the engines assigned to this instance and sends their reports to other instances. */
  poll(): Promise<void>;
  /** Asks an engine directly if its last report is stale, such as one of another data centre. */
  refresh(endpoint: Endpoint): Promise<void>;
}

/** Creates a load collector that also accepts the reports of other instances. */
export function createLoadCollector(host: LoadCollectorHost): LoadCollector {
  const { self, network, engine, endpoints } = host;
  network.handle(loadsTopic, async (_from, reports) => applyReports(reports));

  function applyReports(reports: Reports): void {
    Object.entries(reports).forEach(([name, report]) => endpoints.report(name, report));
  }

  function isAssigned(endpoint: Endpoint, locals: string[]): boolean {
    if (endpoint.kind !== 'engine' || endpoint.dataCentre !== self.dataCentre) return false;
    return getOwner(endpoint.name, locals) === self.instance;
  }

  async function sendReports(instances: string[], reports: Reports): Promise<void> {
    if (Object.keys(reports).length === 0) return;
    const others = instances.filter((instance) => instance !== self.instance);
    const calls = others.map((peer) => network.call(peer, loadsTopic, reports, SEND_TIMEOUT_MS));
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
      const assigned = endpoints
        .list()
        .map((view) => view.endpoint)
        .filter((e) => isAssigned(e, locals));
      const reports: Reports = {};
      await Promise.all(
        assigned.map(async ({ name, address }) => {
          const report = await engine.getLoad(address);
          if (report.ok) reports[name] = report.val;
        }),
      );
      applyReports(reports);
      await sendReports(locals, reports);
      await sendReports(host.getOtherInstances(), selectLeaving(reports));
    },
  };
}

// Other data centres use these engines only when their own are full, so they need no loads. They get
// the reports of leaving engines because they must not send requests to those.
function selectLeaving(reports: Reports): Reports {
  const leaving = Object.entries(reports).filter(([, report]) => report.state === 'leaving');
  return Object.fromEntries(leaving);
}
