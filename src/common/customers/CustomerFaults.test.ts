import { describe, expect, it } from 'vitest';
import type { Customer } from '../routing/Types.js';
import { customerFaults } from './CustomerFaults.js';

const createCustomer = (name: string, changes: Partial<Customer> = {}): Customer => ({
  name,
  keys: [`secret-${name}`],
  ...changes,
});

describe('customerFaults', () => {
  // Guards against a key that identifies two customers, and other ambiguous or unusable ones.
  it.each<[string, Partial<Customer>, string]>([
    ['a shared key', { keys: ['secret-a'] }, 'has a key of a'],
    ['a repeated name', { name: 'a' }, 'stands twice'],
    ['an empty name', { name: '' }, 'the name is empty'],
    ['a name that no header can carry', { name: 'b\n' }, 'control character'],
    ['an empty key', { keys: [''] }, 'a key is empty'],
    ['a negative rate', { ratePerSecond: -1 }, 'ratePerSecond'],
    ['a negative burst', { burst: -1 }, 'burst'],
  ])('finds %s without quoting a key', (name, changes, text) => {
    const faults = customerFaults([createCustomer('a'), createCustomer('b', changes)]);
    expect(faults).toHaveLength(1);
    expect(faults[0]).toContain(text);
    expect(faults[0]).not.toContain('secret');
  });

  it('accepts a customer without keys and one with a key listed twice', () => {
    const twice = createCustomer('b', { keys: ['k', 'k'] });
    expect(customerFaults([createCustomer('a', { keys: [] }), twice])).toEqual([]);
  });
});
