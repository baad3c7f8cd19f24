import { readFileSync } from 'node:fs';
import path from 'node:path';
import { Diagnostics } from '@pomeloroad/core';
import { renderConfiguration, renderEvents } from '../src';

function readDoc(name: string): string {
  return readFileSync(path.join(__dirname, '..', '..', '..', 'docs', name), 'utf8');
}

test.each([
  ['EVENTS.md', renderEvents],
  ['CONFIGURATION.md', renderConfiguration],
])('docs/%s is up to date', (name, render) => {
  expect(readDoc(name)).toBe(render());
});

test('event numbers are unique', () => {
  const codes = Object.values(Diagnostics).map((event) => event.code);
  expect(new Set(codes).size).toBe(codes.length);
});
