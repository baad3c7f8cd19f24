import { isDeepStrictEqual } from 'node:util';
import { Diagnostics } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import type { Lease } from '@pomeloroad/storage';
import type { EngineClient } from './engineTypes';

/** An accepted order is sent again at this interval because the engine may have restarted. */
const RESEND_INTERVAL_MS: Milliseconds = 30_000;

/** The whole target state of an engine, so that a repeated or outdated order does no harm. */
export interface Order {
  models: string[];
}

/** Dependencies of the order issuer. */
export interface OrderIssuerHost {
  clock: Clock;
  log: Log;
  lease: Lease;
  engine: EngineClient;
  dataCentre: string;
  listEndpoints(): Endpoint[];
}

/** Sends orders to the engines of this data centre while this instance holds the lease. */
export interface OrderIssuer {
  /** Takes or renews the lease and sends the orders that are due. */
  poll(): Promise<void>;
}

interface SentOrder {
  order: Order;
  fencing: number;
  at: Milliseconds;
}

/** Creates an order issuer that has sent no orders. */
export function createOrderIssuer(host: OrderIssuerHost): OrderIssuer {
  const { clock, log, lease, engine, dataCentre } = host;
  const sent = new Map<string, SentOrder>();

  function isDue(name: string, order: Order, fencing: number): boolean {
    const last = sent.get(name);
    if (!last || last.fencing !== fencing) return true;
    return !isDeepStrictEqual(last.order, order) || clock.elapsed() - last.at > RESEND_INTERVAL_MS;
  }

  async function sendIfDue(endpoint: Extract<Endpoint, { kind: 'engine' }>): Promise<void> {
    const order: Order = { models: endpoint.models };
    // Read just before sending, because the lease may have expired while the process was paused.
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
      await Promise.all(engines.map(sendIfDue));
    },
  };
}
