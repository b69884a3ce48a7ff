import type { IncomingHttpHeaders } from 'node:http';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import type { Route, RoutedService } from '../../common/routing/Types.js';
import type { ActiveRouting } from '../ActiveRouting.js';
import { usedDestinations } from '../SplitChooser.js';
import type { CustomerCheck } from '../customers/CustomerCheck.js';

/** What a call itself says about where it goes. */
export interface CallSource {
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
  /** Customer found by the gateway that forwards the call, as in `CheckedCall`. */
  readonly forwarded: string | undefined;
}

/** Terms on which the routing in force serves a call. */
export interface CallPlan {
  /** Log index of the routing in force. */
  readonly routingIndex: number;
  /** Version of the routing in force. */
  readonly routingVersion: number;
  readonly route: Route;
  /** True if the routing has customers. */
  readonly isKeyChecked: boolean;
  readonly customer: string | undefined;
  readonly priority: number;
  readonly bodyBytesMax: number;
}

/** Result of {@link CallPlanner.plan}. */
export type CallPlanResult =
  | { readonly type: 'planned'; readonly plan: CallPlan }
  | {
      readonly type: 'refused';
      readonly error: EgretError;
      /** Route whose customer check failed; undefined for other refusals. */
      readonly checkedRoute?: Route;
    };

/** Options of a {@link CallPlanner}. */
export interface CallPlannerOptions {
  readonly routing: ActiveRouting;
  readonly customers: CustomerCheck;
  /** Error for calls while they must not be served by the applied routing. */
  readonly refusal: () => EgretError | undefined;
}

/** Retry delay while this gateway has no routing; short, since another gateway may have it. */
const RETRY_AFTER_NO_ROUTING_MS = 150;

/** True if a route sends a part of its calls to a service. */
function leadsTo(route: Route, service: string): boolean {
  return usedDestinations(route).some((destination) => destination.service === service);
}

/** Decides by the routing in force how a call is served: at its arrival, and at each attempt. */
export class CallPlanner {
  constructor(private readonly options: CallPlannerOptions) {}

  /**
   * Terms for a call, or the error that it is refused with.
   *
   * @example
   * planner.plan({ host: 'calls.example', target: '/read/x', headers, forwarded: undefined });
   */
  plan(source: CallSource): CallPlanResult {
    const { routing, customers, refusal } = this.options;
    const { index, table, logIndex: routingIndex, version: routingVersion } = routing;
    if (!index || !table) {
      const retry = { retryAfterMs: RETRY_AFTER_NO_ROUTING_MS };
      const error = new EgretError(ErrorKind.NotCurrent, 'No routing received yet.', retry);
      return { type: 'refused', error };
    }
    const refused = refusal();
    if (refused) return { type: 'refused', error: refused };
    const route = index.match(source.host, source.target);
    if (!route) {
      const detail = `No route matches ${source.host}${source.target}.`;
      return { type: 'refused', error: new EgretError(ErrorKind.NotFound, detail) };
    }
    const { headers, forwarded } = source;
    const checked = customers.check({ route, headers, forwarded });
    if (checked.type === 'refused') {
      return { type: 'refused', error: checked.error, checkedRoute: route };
    }
    const isKeyChecked = checked.type === 'checked';
    const plan = {
      routingIndex,
      routingVersion,
      route,
      isKeyChecked,
      customer: isKeyChecked ? checked.customer : undefined,
      priority: (isKeyChecked ? checked.priority : undefined) ?? route.priority,
      bodyBytesMax: table.limits.bodyBytesMax,
    };
    return { type: 'planned', plan };
  }

  /** Service for a planned call; undefined if the routing does not describe it. */
  chooseService({ route }: CallPlan): RoutedService | undefined {
    return this.options.routing.nextService(route);
  }

  /**
   * True if the routing in force still leads a call to the service that was chosen for it, for the
   * same customer and on the same terms: another time limit or kind ends its attempts too.
   */
  isInForce(source: CallSource, plan: CallPlan, service: string): boolean {
    const { routing, refusal } = this.options;
    if (routing.logIndex === plan.routingIndex) return refusal() === undefined;
    const next = this.plan(source);
    if (next.type === 'refused') return false;
    const { route, customer } = next.plan;
    return (
      leadsTo(route, service) &&
      customer === plan.customer &&
      route.kind === plan.route.kind &&
      route.timeoutMs === plan.route.timeoutMs
    );
  }
}
