/** Group of the platform's services in the fault proxy. */
export const PLATFORM_GROUP = 'platform';

/** Returns the loopback address that the instances of a data centre connect from. */
export function getSourceAddress(sites: string[], site: string): string {
  return `127.0.${sites.indexOf(site) + 1}.1`;
}

/** Returns the data centre of a loopback address, or `outside` if it belongs to none. */
export function getGroup(sites: string[], ip: string): string {
  const third = Number(ip.replace('::ffff:', '').split('.')[2] ?? 0);
  return sites[third - 1] ?? 'outside';
}
