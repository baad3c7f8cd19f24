import { match } from 'ts-pattern';
import { createCallerHeaders } from './callerClient';
import type { CallerFields } from './callerClient';

/** How a request on a plain socket is written; endpoints may run each of them. */
export const RequestForms = [
  'no-body',
  'length',
  'chunked',
  'trailers',
  'expect',
  'upgrade',
  'http-1.0',
  'close',
] as const;

/** One of the forms. */
export type RequestForm = (typeof RequestForms)[number];

/** What no server may run. */
export const UnreadableKinds = [
  'no-request',
  'large-head',
  'two-lengths',
  'length-and-chunks',
  'bad-chunk',
  'bad-field',
  'bad-version',
  'no-host',
  'unknown-expectation',
  'connect',
  'cut-head',
  'cut-body',
] as const;

/** One of the kinds of what no server may run. */
export type UnreadableKind = (typeof UnreadableKinds)[number];

const LINE_END = '\r\n';
const LAST_CHUNK = '0\r\n';
const CHUNK_BYTES = 100;
const HEX = 16;
const LARGE_FIELD_BYTES = 70_000;

/** Returns the head and the body of a request as they are written. */
export function renderRequest(
  fields: CallerFields,
  form: RequestForm,
  body: string,
): { head: string; body: string } {
  const length = { 'content-length': `${body.length}` };
  const chunks = { 'transfer-encoding': 'chunked' };
  return match(form)
    .with('no-body', () => render(fields, { 'content-length': '0' }))
    .with('length', () => render(fields, length, body))
    .with('chunked', () => render(fields, chunks, `${renderChunks(body)}${LINE_END}`))
    .with('trailers', () => {
      const trailer = `x-checksum: 1${LINE_END}`;
      const content = `${renderChunks(body)}${trailer}${LINE_END}`;
      return render(fields, { ...chunks, trailer: 'x-checksum' }, content);
    })
    .with('expect', () => render(fields, { ...length, expect: '100-continue' }, body))
    .with('upgrade', () =>
      render(fields, { ...length, connection: 'upgrade', upgrade: 'websocket' }, body),
    )
    .with('http-1.0', () => render(fields, length, body, '1.0'))
    .with('close', () => render(fields, { ...length, connection: 'close' }, body))
    .exhaustive();
}

/** Returns bytes that are no whole request, or one that has to be refused; its id is the fields'. */
export function renderUnreadable(kind: UnreadableKind, fields: CallerFields): string {
  const whole = (headers: Record<string, string>, body = '') => {
    const request = render(fields, headers, body);
    return `${request.head}${request.body}`;
  };
  const plain = whole({ 'content-length': '0' });
  return match(kind)
    .with('no-request', () => `no request${LINE_END}${LINE_END}`)
    .with('large-head', () => whole({ large: 'x'.repeat(LARGE_FIELD_BYTES) }))
    .with('two-lengths', () =>
      plain.replace('content-length: 0', (line) => `${line}${LINE_END}content-length: 5`),
    )
    .with('length-and-chunks', () =>
      whole({ 'content-length': '4', 'transfer-encoding': 'chunked' }, `${LAST_CHUNK}${LINE_END}`),
    )
    .with('bad-chunk', () => whole({ 'transfer-encoding': 'chunked' }, `zz${LINE_END}`))
    .with('bad-field', () => plain.replace('content-length', 'content length'))
    .with('bad-version', () => plain.replace('HTTP/1.1', 'HTTP/9.9'))
    .with('no-host', () => plain.replace(/^host: .*\r\n/m, ''))
    .with('unknown-expectation', () => whole({ 'content-length': '0', expect: 'a-miracle' }))
    .with('connect', () => plain.replace(/^POST \S+/, 'CONNECT other.example:443'))
    .with('cut-head', () => plain.slice(0, Math.floor(plain.length / 2)))
    .with('cut-body', () => whole({ 'content-length': '400' }, 'half of it'))
    .exhaustive();
}

function render(
  fields: CallerFields,
  headers: Record<string, string>,
  body = '',
  version = '1.1',
): { head: string; body: string } {
  const lines = Object.entries({ ...createCallerHeaders(fields), ...headers });
  const head = [
    `POST ${fields.path} HTTP/${version}`,
    ...lines.map(([name, value]) => `${name}: ${value}`),
  ];
  return { head: `${head.join(LINE_END)}${LINE_END}${LINE_END}`, body };
}

// Without the line that ends the trailers.
function renderChunks(body: string): string {
  const parts = body.match(new RegExp(`.{1,${CHUNK_BYTES}}`, 'gs')) ?? [];
  const chunks = parts.map((part) => `${part.length.toString(HEX)}${LINE_END}${part}${LINE_END}`);
  return `${chunks.join('')}${LAST_CHUNK}`;
}
