import { digestOfKey } from '../../runtime/KeyDigest.js';
import type { Customer } from '../../common/routing/Types.js';

/** Looks up customers by key and by name in constant time; rebuilt for every version. */
export class CustomerIndex {
  private readonly byDigest = new Map<string, Customer>();

  private readonly byName = new Map<string, Customer>();

  constructor(customers: readonly Customer[]) {
    customers.forEach((customer) => {
      this.byName.set(customer.name, customer);
      customer.keyDigests?.forEach((digest) => this.byDigest.set(digest, customer));
    });
  }

  get size(): number {
    return this.byName.size;
  }

  /**
   * Customer to whom a key was issued.
   *
   * @example
   * index.withKey('a key')?.name;
   */
  withKey(key: string): Customer | undefined {
    return this.byDigest.get(digestOfKey(key));
  }

  named(name: string): Customer | undefined {
    return this.byName.get(name);
  }
}
