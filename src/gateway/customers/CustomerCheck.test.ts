import { describe, expect, it } from 'vitest';
import { createRoute } from '../../common/routing/fixtures.js';
import { digestOfKey } from '../../runtime/KeyDigest.js';
import type { CustomerWire } from '../Types.js';
import { CustomerCheck, type CustomerCheckOptions } from './CustomerCheck.js';
import { CustomerIndex } from './CustomerIndex.js';

const WIRE: CustomerWire = {
  headerNames: new Set(['key']),
  readKey: (headers) => headers.key as string | undefined,
  customerHeaders: (name) => ['Customer', name],
  challengeHeaders: [],
};

const CUSTOMERS = new CustomerIndex([
  { name: 'alder', keys: [], keyDigests: [digestOfKey('k-1')], priority: 0 },
]);

function check(
  key: string | undefined,
  options: Partial<CustomerCheckOptions> = {},
  isOpen = false,
) {
  const checker = new CustomerCheck({ routing: { customers: CUSTOMERS }, wire: WIRE, ...options });
  const result = checker.check({
    route: createRoute('read', { isOpen }),
    headers: { ...(key !== undefined && { key }) },
    forwarded: undefined,
  });
  return result.type === 'refused' ? result.error.statusCode : result;
}

describe('CustomerCheck', () => {
  const isStale = () => true;

  // Guards against a withdrawn key that is accepted, or known as unknown, by an old routing.
  it.each([
    ['a known key', 'k-1', false, 503],
    ['an unknown key', 'k-2', false, 503],
    ['no key', undefined, false, 401],
  ])('answers a call with %s under an old routing', (name, key, isOpen, status) =>
    expect(check(key, { isStale }, isOpen)).toBe(status),
  );

  // Guards against open routes that end with the contact to control hosts.
  it('accepts a call without a key on an open route under an old routing', () =>
    expect(check(undefined, { isStale }, true)).toMatchObject({ type: 'checked' }));

  // Guards against a priority of the route that remains in force for a customer with its own.
  it('finds the customer and its priority', () =>
    expect(check('k-1')).toEqual({ type: 'checked', customer: 'alder', priority: 0 }));

  // Guards against refusals in deployments without customers.
  it('checks nothing without customers in the routing', () =>
    expect(check(undefined, { routing: { customers: null } })).toEqual({ type: 'unchecked' }));
});
