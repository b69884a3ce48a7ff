import { createHash } from 'node:crypto';
import type { Customer, RoutingView } from '../common/routing/Types.js';

/**
 * SHA-256 digest of a customer's key, in hexadecimal.
 *
 * @example
 * digestOfKey('letmein').length; // 64
 */
export function digestOfKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function withoutKeys({ source, ...customer }: Customer): Customer {
  // The source is the operator's document, which contains the keys.
  return { ...customer, keys: [], keyDigests: customer.keys.map(digestOfKey) };
}

/**
 * Returns the view with digests instead of keys; the same view if it has no customers.
 *
 * @example
 * withKeyDigests(view).table?.customers?.[0]?.keys; // []
 */
export function withKeyDigests(view: RoutingView): RoutingView {
  const { table } = view;
  if (!table?.customers) return view;
  return { ...view, table: { ...table, customers: table.customers.map(withoutKeys) } };
}
