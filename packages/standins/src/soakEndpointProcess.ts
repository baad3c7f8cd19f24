import { createRandom, listen, sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { announceEndpoint } from './announcement';
import type { EndpointLine, OrderlyEnd } from './endpointLines';
import { createSoakEndpoint } from './soakEndpoint';

/** Time beyond the announced one for which an endpoint that leaves still serves. */
const EXTRA_SERVICE_MS: Milliseconds = 2000;
/** Requests a second that a limited endpoint takes from all instances together. */
const RATE_LIMIT = 2.3;
const POLL_INTERVAL_MS: Milliseconds = 50;
/** Time for which an endpoint that lives on ends all answers in order. */
const ORDERLY_ENDS_MS: Milliseconds = 500;

/** Settings of the process of an endpoint. */
export interface SoakEndpointSettings {
  clock: Clock;
  /** Seed of the pace of its engine and of how late ends come. */
  seed: number;
  /** Share of the streams whose end comes apart from their last event. */
  apartShare: number;
  id: string;
  address: string;
  /** Address at which instances reach it. */
  advertisedAddress: string;
  store: string;
  service: string;
  dataCentre: string;
  slots: number;
  /** Version of its software. */
  version: string;
  /** Time after which it closes an idle connection; it announces a longer one. */
  idleTimeout: Milliseconds;
  /** Time that it serves after the store has accepted that it leaves. */
  drain: Milliseconds;
  /** Time from its start until it first writes its entry. */
  listedAfter: Milliseconds;
}

/** A change of the endpoint's entry that the store has accepted. */
type StateLine =
  | { event: 'leaving' }
  /** It begins to name a limit of requests a second, or none any more. */
  | { event: 'limited'; limit: number | undefined }
  | { event: 'listed'; service: string; version: string };

/**
 * Serves and announces an endpoint until SIGTERM, after which it leaves in order. After SIGINT, or when
 * told, it ends its answers as if they were complete. SIGUSR2 switches between a full queue and a free
 * one, SIGHUP between a limit of requests and none. At SIGQUIT it dies in the middle of an event. Resolves to the address at which it listens.
 */
export async function runSoakEndpoint(settings: SoakEndpointSettings): Promise<string> {
  const { clock, id, slots, version, store, service, dataCentre, drain } = settings;
  const born = clock.now().getTime();
  // Events tell from which service they come as well.
  const origin = `${service}/${version}`;
  let isFull = false;
  let rateLimit: number | undefined;
  const die = () => process.kill(process.pid, 'SIGKILL');
  const getRateLimit = () => rateLimit;
  const random = createRandom(settings.seed);
  const base = {
    clock,
    random,
    apartShare: settings.apartShare,
    id,
    address: settings.advertisedAddress,
    slots,
    version: origin,
    born,
    record,
    isFull: () => isFull,
    die,
    getRateLimit,
  };
  const endpoint = createSoakEndpoint({ ...base, end });
  const { server, countActive } = endpoint;
  server.keepAliveTimeout = settings.idleTimeout;
  const address = await listen(server, settings.address);
  const advertised = { address: settings.advertisedAddress, dataCentre, slots, version, born };
  const entry = { id, service, ...advertised };
  const onListed = () => record({ event: 'listed', service, version: origin });
  const announcement = announceEndpoint(clock, store, entry, settings.listedAfter, onListed);
  process.on('SIGUSR2', () => {
    isFull = !isFull;
  });
  process.on('SIGHUP', () => {
    rateLimit = rateLimit === undefined ? RATE_LIMIT : undefined;
    record({ event: 'limited', limit: rateLimit });
  });
  process.once('SIGQUIT', () => {
    endpoint.tearEvents();
    // What was written in this turn reaches the kernel at its end.
    setImmediate(die);
  });
  process.once('SIGINT', () => end({ reason: 'exit', delay: 0, exitAfter: 0 }));
  process.once('SIGTERM', async () => {
    await announceLeaving();
    await leave();
  });

  async function end(orderly: OrderlyEnd): Promise<void> {
    const { reason, exitAfter, length = ORDERLY_ENDS_MS } = orderly;
    if (reason === 'leaving') await announceLeaving();
    await endpoint.endAnswers(orderly);
    await sleep(clock, exitAfter ?? length);
    if (exitAfter !== undefined) process.exit(0);
    endpoint.resume();
    if (reason === 'leaving') await leave();
  }

  async function announceLeaving(): Promise<void> {
    await announcement.leave();
    record({ event: 'leaving' });
  }

  async function leave(): Promise<void> {
    await sleep(clock, drain + EXTRA_SERVICE_MS);
    await announcement.withdraw();
    server.close();
    // A connection may stay open for long whose other side a fault of the link has cut off.
    while (countActive() > 0) await sleep(clock, POLL_INTERVAL_MS);
    await sleep(clock, POLL_INTERVAL_MS);
    server.closeAllConnections();
    process.exit(0);
  }

  // Writes to a pipe are synchronous, so a line is not lost when the process is killed.
  function record(line: EndpointLine | StateLine): void {
    process.stdout.write(`${JSON.stringify({ at: clock.now().toISOString(), id, ...line })}\n`);
  }

  return address;
}
