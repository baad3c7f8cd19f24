import { isDeepStrictEqual } from 'node:util';
import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import type { Lease } from '@pomeloroad/storage';
import type { Engine } from './engine';

/** How often an order that was taken is sent again, since an engine may have restarted. */
const REPEAT_MS: Milliseconds = 30_000;

/** What an engine is ordered to be: the whole target, so that a repeat or an old one is harmless. */
export interface Order {
  models: string[];
}

/** What the order issuer needs from its surroundings. */
export interface OrdersHost {
  clock: Clock;
  log: Log;
  lease: Lease;
  engine: Engine;
  dataCentre: string;
  listEndpoints(): Endpoint[];
}

/** Sends orders to the engines of this data centre while this instance holds the lease. */
export interface Orders {
  poll(): Promise<void>;
}

interface SentOrder {
  order: Order;
  fencing: number;
  at: Milliseconds;
}

/** Creates an issuer that has sent nothing yet. */
export function createOrders(host: OrdersHost): Orders {
  const { clock, log, lease, engine, dataCentre } = host;
  const sent = new Map<string, SentOrder>();

  function isDue(name: string, order: Order, fencing: number): boolean {
    const last = sent.get(name);
    if (!last || last.fencing !== fencing) return true;
    return !isDeepStrictEqual(last.order, order) || clock.elapsed() - last.at > REPEAT_MS;
  }

  async function send(endpoint: Extract<Endpoint, { kind: 'engine' }>): Promise<void> {
    const order: Order = { models: endpoint.models };
    // Read right before sending: a process that was paused no longer holds the lease.
    const fencing = lease.getFencingToken();
    if (fencing === undefined || !isDue(endpoint.name, order, fencing)) return;
    const outcome = await engine.order(endpoint.address, fencing, order);
    if (outcome.ok) sent.set(endpoint.name, { order, fencing, at: clock.elapsed() });
    else
      log(Diagnostics.orderFailed, {
        endpoint: endpoint.name,
        fencing,
        reason: outcome.val.message,
      });
  }

  return {
    async poll() {
      await lease.acquireOrRenew();
      const engines = host
        .listEndpoints()
        .filter((endpoint) => endpoint.kind === 'engine')
        .filter((endpoint) => endpoint.dataCentre === dataCentre);
      await Promise.all(engines.map(send));
    },
  };
}
