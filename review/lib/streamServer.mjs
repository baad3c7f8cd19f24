// A model server as a process of its own, which its parent may kill. Its answers are streams with neither a length
// nor chunks. It sends its parent what it registers in the store and what it runs.
/* eslint-disable import-x/extensions -- Node.js finds modules by their whole names */
import process from 'node:process';
import { createStreamWork, startServer } from './servers.mjs';

const tell = (message) => process.send?.(message);
const record = (entry) => tell({ entry });
const store = { write: (...row) => tell({ row }) };
const { ip, service, zone, slots, stride, pauseMs } = JSON.parse(process.argv[2]);
const work = createStreamWork({ stride, pauseMs, isUnframed: true, record });
const server = await startServer({
  ip,
  store,
  service,
  zone,
  slots,
  record: () => undefined,
  work,
});
tell({ id: server.id });
process.on('message', () => server.reportDraining());
process.on('disconnect', () => process.exit(0));
