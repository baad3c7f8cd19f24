import http from 'node:http';
import { createRandom, createSystemClock, listen } from '@pomeloroad/core';
import { createFaultInjectingHandler } from './faults';
import type { RequestHandler } from './faults';
import { createMembershipService } from './membershipService';
import type { MembershipOptions } from './membershipService';
import { createObjectService } from './objectService';
import { createTableService } from './tableService';

/** Addresses, `host:port`, of the platform's services. */
export interface PlatformAddresses {
  table: string;
  objects: string;
  membership: string;
}

/** Running stand-ins of the platform's services. */
export interface PlatformServers {
  /** Bound addresses, with the ports that are in use. */
  addresses: PlatformAddresses;
  /** Stops the servers and closes their open connections. */
  close(): void;
}

/**
 * Starts the table service, the object store and the membership list; resolves once all of them
 * listen.
 */
export async function startPlatform(
  addresses: PlatformAddresses,
  seed: number,
  options: MembershipOptions,
): Promise<PlatformServers> {
  const clock = createSystemClock();
  const createServer = (handler: RequestHandler, seedOffset: number) =>
    http.createServer(
      { keepAliveTimeout: 60_000 },
      createFaultInjectingHandler(createRandom(seed + seedOffset), handler),
    );
  const table = createServer(createTableService(), 1);
  const objects = createServer(createObjectService(), 2);
  const membership = createServer(createMembershipService(clock, options), 3);
  const boundAddresses = {
    table: await listen(table, addresses.table),
    objects: await listen(objects, addresses.objects),
    membership: await listen(membership, addresses.membership),
  };
  return {
    addresses: boundAddresses,
    close() {
      [table, objects, membership].forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
}
