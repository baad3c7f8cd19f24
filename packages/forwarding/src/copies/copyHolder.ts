import { hasCapacity, getLoad } from '@pomeloroad/routing';
import type { EndpointView } from '@pomeloroad/routing';
import { isRetryable } from '../attempts/patience';
import { getVersion } from '../origins/takeUp';
import type { Run } from '../run';
import type { RunCopy } from '../types';

/**
 * Returns where a run is copied to while the source works on it; `undefined` if it may be sent again, if endpoints of its
 * service make no copies or had no trouble lately, or if no other endpoint is fit to go on with it.
 */
export function chooseCopyHolder<Payload>(
  run: Run<Payload>,
  source: EndpointView['endpoint'],
): RunCopy | undefined {
  const { host, request } = run;
  const { route, service } = request;
  if (route.kind !== 'streaming' || isRetryable(route)) return undefined;
  if (!host.findService(service)?.copies || !host.serviceTroubles.has(service)) return undefined;
  const candidates = host.endpoints
    .findCandidates({
      target: { kind: 'service', service, origin: { version: getVersion(source) } },
      excluded: new Set([...run.excluded, source.name]),
    })
    .filter(isFit);
  const chosen = pickLeastLoaded(run, preferLocal(run, candidates));
  host.metrics.copiedRuns.add(1, { holder: chosen ? 'found' : 'none' });
  const endpoint = chosen && host.directory.find(chosen.endpoint.name);
  return endpoint && { name: chosen.endpoint.name, endpoint };
}

// One that limits what it takes has no room for runs of others.
function isFit(view: EndpointView): boolean {
  const { isFailing, rateShare, slotShare, pausedFor } = view;
  const isLimited = rateShare !== undefined || slotShare !== undefined || pausedFor > 0;
  return !isFailing && !isLimited && hasCapacity(view);
}

// The data centre of the source may be cut off as a whole; that of the instance is still reached then.
function preferLocal<Payload>(
  { host: { dataCentre } }: Run<Payload>,
  candidates: EndpointView[],
): EndpointView[] {
  const local = candidates.filter(({ endpoint }) => endpoint.dataCentre === dataCentre);
  return local.length > 0 ? local : candidates;
}

function pickLeastLoaded<Payload>(
  { host: { random } }: Run<Payload>,
  candidates: EndpointView[],
): EndpointView | undefined {
  const least = Math.min(...candidates.map(getLoad));
  const tied = candidates.filter((view) => getLoad(view) === least);
  return tied.length > 0 ? tied[random.integer(0, tied.length - 1)] : undefined;
}
