import http from 'node:http';
import { createSystemClock, listen, readBody, writeJson } from '@pomeloroad/core';
import { createFaultProxy } from './faultProxy';
import type { Rule } from './faultProxy';
import { getGroup } from './groups';

// Body of a request to the proxy's control interface; the path decides which members are read.
interface ControlBody {
  group?: string;
  link?: string;
  target?: string;
  rules?: Rule[];
  from?: string;
  to?: string;
}

const names = process.argv.slice(2);
const proxy = createFaultProxy(createSystemClock(), (ip) => getGroup(names, ip));

const server = http.createServer(async (request, response) => {
  const body = JSON.parse((await readBody(request)).toString()) as ControlBody;
  if (request.url === '/links') {
    writeJson(response, 200, await proxy.addLink(body.group ?? ''));
    return;
  }
  if (request.url === '/target') proxy.setTarget(body.link ?? '', body.target ?? '');
  if (request.url === '/rules') proxy.setRules(body.rules ?? []);
  if (request.url === '/silence') proxy.silence(body.from ?? '', body.to ?? '');
  writeJson(response, 200, {});
});

listen(server, '127.0.0.1:0').then((address) => {
  process.stdout.write(`${JSON.stringify({ event: 'listening', address })}\n`);
});
