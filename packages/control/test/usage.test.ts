import http from 'node:http';
import { listen } from '@pomeloroad/core';
import { ExitCode, showUsage } from '../src';

const FAULT = { key: 'grant/kent/g', message: '0 records stored of 2' };

let server: http.Server | undefined;

afterEach(() => server?.close());

async function show(answer: object) {
  server = http.createServer((_request, response) => response.end(JSON.stringify(answer)));
  const url = `http://${await listen(server, '127.0.0.1:0')}`;
  return showUsage({ url, key: 'k', authority: undefined });
}

test('a bill of which records are missing is not shown as whole', async () => {
  const { status, text, data } = await show({ accounts: [], records: [], faults: [FAULT] });
  expect(status).toBe(ExitCode.auditFault);
  expect(text).toContain('the bill does not add up: grant/kent/g: 0 records stored of 2');
  expect(data).toMatchObject({ faults: [FAULT] });
});

test('a bill that adds up is shown as whole', async () => {
  const { status, text } = await show({ accounts: [], records: [], faults: [] });
  expect(status).toBe(ExitCode.success);
  expect(text).not.toContain('incomplete');
});
