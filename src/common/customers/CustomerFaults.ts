import type { Customer } from '../routing/Types.js';

/** Finds the faults of one rule in the list of all customers; texts contain no keys. */
type CustomerRule = (customers: readonly Customer[]) => string[];

// A name is sent in a header, which can't contain control characters (RFC 9110, section 5.5).
// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTER = /[\x00-\x1f\x7f]/;

function faultsOfEach(isFaulty: (customer: Customer) => boolean, text: string): CustomerRule {
  return (customers) => customers.filter(isFaulty).map(({ name }) => `customers/${name}: ${text}`);
}

const repeatedNames: CustomerRule = (customers) => {
  const names = new Set<string>();
  return customers.flatMap(({ name }) => {
    if (names.has(name)) return [`customers/${name}: the name stands twice.`];
    names.add(name);
    return [];
  });
};

const sharedKeys: CustomerRule = (customers) => {
  const owners = new Map<string, Customer>();
  return customers.flatMap((customer) =>
    customer.keys.flatMap((key) => {
      const owner = owners.get(key) ?? customer;
      owners.set(key, owner);
      if (owner === customer) return [];
      return [`customers/${customer.name}: has a key of ${owner.name}; issue another one.`];
    }),
  );
};

const RULES: Readonly<Record<string, CustomerRule>> = {
  emptyName: faultsOfEach(({ name }) => name.length === 0, 'the name is empty.'),
  controlCharacter: faultsOfEach(
    ({ name }) => CONTROL_CHARACTER.test(name),
    'the name contains a control character.',
  ),
  repeatedNames,
  emptyKey: faultsOfEach(({ keys }) => keys.some((key) => key.length === 0), 'a key is empty.'),
  sharedKeys,
  negativeRate: faultsOfEach(
    ({ ratePerSecond = 0 }) => !(ratePerSecond >= 0),
    'ratePerSecond is below 0.',
  ),
  negativeBurst: faultsOfEach(({ burst = 0 }) => !(burst >= 0), 'burst is below 0.'),
};

/**
 * Lists every fault of the customers of a table.
 *
 * @example
 * customerFaults([{ name: 'a', keys: ['k'] }]); // []
 */
export function customerFaults(customers: readonly Customer[]): string[] {
  return Object.values(RULES).flatMap((rule) => rule(customers));
}
