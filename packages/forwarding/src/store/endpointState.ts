import type { Endpoints } from '@pomeloroad/routing';
import type { EndpointDirectory } from './endpointDirectory';

/** What is known of an endpoint: it fails, it has said that it leaves, or its entry is gone. */
export type EndpointState = 'sound' | 'failing' | 'leaving' | 'gone';

/** Returns the state of the endpoint of this name. */
export function findEndpointState(
  directory: Pick<EndpointDirectory, 'find'>,
  endpoints: Pick<Endpoints, 'isLeaving' | 'isFailing'>,
  name: string,
): EndpointState {
  const record = directory.find(name);
  if (!record) return 'gone';
  if (record.isLeaving) return 'leaving';
  // An entry that is no longer listed gets no requests either.
  if (endpoints.isLeaving(name)) return 'gone';
  return endpoints.isFailing(name) ? 'failing' : 'sound';
}
