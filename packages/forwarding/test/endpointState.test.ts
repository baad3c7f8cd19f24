import type { EndpointRecord } from '../src';
import { findEndpointState } from '../src';

interface Endpoint {
  isKnown?: boolean;
  isLeaving?: boolean;
  isUnlisted?: boolean;
  isFailing?: boolean;
}

test.each<[string, Endpoint]>([
  ['sound', {}],
  ['failing', { isFailing: true }],
  ['leaving', { isLeaving: true, isUnlisted: true, isFailing: true }],
  ['gone', { isUnlisted: true, isFailing: true }],
  ['gone', { isKnown: false }],
])('an endpoint is %s: %j', (state, endpoint) => {
  const { isKnown = true, isLeaving = false, isUnlisted = false, isFailing = false } = endpoint;
  const record = { isLeaving } as EndpointRecord;
  const directory = { find: () => (isKnown ? record : undefined) };
  const endpoints = { isLeaving: () => isLeaving || isUnlisted, isFailing: () => isFailing };
  expect(findEndpointState(directory, endpoints, 'e/1')).toBe(state);
});
