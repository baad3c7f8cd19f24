/** The group of the platform's services. */
export const PLATFORM_GROUP = 'platform';

/** The local IP number that an instance of a data centre connects from. */
export function getSourceAddress(sites: string[], site: string): string {
  return `127.0.${sites.indexOf(site) + 1}.1`;
}

/** The data centre that a local IP number stands for. */
export function getGroup(sites: string[], ip: string): string {
  const third = Number(ip.replace('::ffff:', '').split('.')[2] ?? 0);
  return sites[third - 1] ?? 'outside';
}
