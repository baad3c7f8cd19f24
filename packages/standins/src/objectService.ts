import type { RequestHandler } from './faults';

const OBJECTS_PATH = '/v1/objects';

/** Creates the handler of an object store that is kept in memory. */
export function createObjectService(): RequestHandler {
  const objects = new Map<string, string>();
  return async (request, url, body) => {
    if (url.pathname === OBJECTS_PATH && request.method === 'GET') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const names = [...objects.keys()].filter((name) => name.startsWith(prefix)).sort();
      return { status: 200, body: { names } };
    }
    if (!url.pathname.startsWith(`${OBJECTS_PATH}/`)) return undefined;
    const name = decodeURIComponent(url.pathname.slice(OBJECTS_PATH.length + 1));
    if (request.method === 'PUT') {
      objects.set(name, body);
      return { status: 200, body: { name } };
    }
    const text = objects.get(name);
    if (text === undefined) return { status: 404, body: { message: 'none' } };
    return { status: 200, body: text };
  };
}
