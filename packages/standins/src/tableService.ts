import { z } from 'zod';
import { createMemoryTable } from '@pomeloroad/storage';
import type { RequestHandler, StandinReply } from './faults';

const MAX_ROWS_PER_COMMIT = 100;

const CommitSchema = z.object({
  checks: z.array(z.object({ key: z.string(), version: z.number().int() })),
  writes: z.array(z.object({ key: z.string(), value: z.unknown().optional() })),
});
const ReadSchema = z.object({ keys: z.array(z.string()) });

/** Creates the handler of a table in memory; `GET /standin/counts` reports its reads and writes. */
export function createTableService(): RequestHandler {
  const table = createMemoryTable();
  const counts = { reads: 0, writes: 0, rowsWritten: 0 };

  async function commit(body: string): Promise<StandinReply> {
    const transaction = CommitSchema.parse(JSON.parse(body));
    const keys = new Set([...transaction.checks, ...transaction.writes].map((part) => part.key));
    if (keys.size > MAX_ROWS_PER_COMMIT) return { status: 400, body: { message: 'too many rows' } };
    counts.writes += 1;
    counts.rowsWritten += transaction.writes.length;
    const writes = transaction.writes.map(({ key, value }) => ({ key, value }));
    const outcome = await table.commit({ checks: transaction.checks, writes });
    const conflicts = outcome.err && outcome.val.kind === 'conflict' ? outcome.val.keys : [];
    return { status: 200, body: { committed: outcome.ok, conflicts } };
  }

  return async (request, url, body) => {
    const route = `${request.method} ${url.pathname}`;
    if (route === 'POST /v1/commit') return commit(body);
    if (route === 'POST /v1/read') {
      counts.reads += 1;
      const rows = await table.read(ReadSchema.parse(JSON.parse(body)).keys);
      return { status: 200, body: { rows: rows.unwrap() } };
    }
    if (route === 'GET /v1/scan') {
      counts.reads += 1;
      const rows = await table.scan(url.searchParams.get('prefix') ?? '');
      return { status: 200, body: { rows: rows.unwrap() } };
    }
    if (route === 'GET /standin/counts') return { status: 200, body: counts };
    return undefined;
  };
}
