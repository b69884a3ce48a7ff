import type { IncomingHttpHeaders } from 'node:http';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import type { Route } from '../../common/routing/Types.js';
import type { ActiveRouting } from '../ActiveRouting.js';
import type { CustomerWire } from '../Types.js';

/** Options of a {@link CustomerCheck}. */
export interface CustomerCheckOptions {
  readonly routing: Pick<ActiveRouting, 'customers'>;
  /** Omitted if the environment defines no headers for customers. */
  readonly wire: CustomerWire | undefined;
  /** True if keys must be refused because the routing may be out of date. */
  readonly isStale?: () => boolean;
}

/** Call whose customer is to be determined. */
export interface CheckedCall {
  readonly route: Route;
  readonly headers: IncomingHttpHeaders;
  /**
   * Customer found by the gateway that forwards the call, empty for an open route's call without
   * one; undefined if no gateway has checked the key.
   */
  readonly forwarded: string | undefined;
}

/** Result of {@link CustomerCheck.check}. */
export type CustomerCheckResult =
  | { readonly type: 'refused'; readonly error: EgretError }
  /** The routing has no customers: the headers are passed on as received. */
  | { readonly type: 'unchecked' }
  | {
      readonly type: 'checked';
      /** Undefined for a call without a known key on an open route. */
      readonly customer: string | undefined;
      /** Priority of the customer; undefined to keep that of the route. */
      readonly priority: number | undefined;
    };

function refused(kind: ErrorKind, detail: string): CustomerCheckResult {
  return { type: 'refused', error: new EgretError(kind, detail) };
}

/** Determines the customer of each call; neither results nor errors contain keys. */
export class CustomerCheck {
  constructor(private readonly options: CustomerCheckOptions) {}

  /**
   * Checks the key of a call, or takes over the result of the gateway that forwards it.
   *
   * @example
   * check.check({ route, headers: request.headers, forwarded: undefined }).type; // 'checked'
   */
  check({ route, headers, forwarded }: CheckedCall): CustomerCheckResult {
    const { routing, wire, isStale } = this.options;
    const { customers } = routing;
    if (forwarded !== undefined) {
      const priority = customers?.named(forwarded)?.priority;
      return { type: 'checked', customer: forwarded || undefined, priority };
    }
    if (!customers) return { type: 'unchecked' };
    const key = wire?.readKey(headers);
    if (key !== undefined && isStale?.()) {
      return refused(ErrorKind.NotCurrent, 'Keys can not be checked: the routing may be old.');
    }
    const customer = key === undefined ? undefined : customers.withKey(key);
    if (!customer && route.isOpen !== true) {
      const detail = key === undefined ? 'The call has no key.' : 'The key is not known.';
      return refused(ErrorKind.CustomerUnknown, detail);
    }
    return { type: 'checked', customer: customer?.name, priority: customer?.priority };
  }
}
