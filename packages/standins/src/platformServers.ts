import http from 'node:http';
import { createRandom, createSystemClock, listen } from '@pomeloroad/core';
import { createFaultyHandler } from './faults';
import type { Serve } from './faults';
import { createMembershipService } from './membershipService';
import type { MembershipOptions } from './membershipService';
import { createObjectService } from './objectService';
import { createTableService } from './tableService';

/** Addresses of the platform's services. */
export interface PlatformAddresses {
  table: string;
  objects: string;
  membership: string;
}

/** The platform's stand-ins in this process. */
export interface PlatformServers {
  addresses: PlatformAddresses;
  close(): void;
}

/** Starts the table service, the object store and the membership list. */
export async function startPlatform(
  addresses: PlatformAddresses,
  seed: number,
  options: MembershipOptions,
): Promise<PlatformServers> {
  const clock = createSystemClock();
  const open = (serve: Serve, salt: number) =>
    http.createServer(
      { keepAliveTimeout: 60_000 },
      createFaultyHandler(createRandom(seed + salt), serve),
    );
  const table = open(createTableService(), 1);
  const objects = open(createObjectService(), 2);
  const membership = open(createMembershipService(clock, options), 3);
  const bound = {
    table: await listen(table, addresses.table),
    objects: await listen(objects, addresses.objects),
    membership: await listen(membership, addresses.membership),
  };
  return {
    addresses: bound,
    close() {
      [table, objects, membership].forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
}
