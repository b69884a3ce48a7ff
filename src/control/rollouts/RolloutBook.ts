import { RolloutState, type Rollout } from '../../common/rollouts/Types.js';
import type { RoutingView } from '../../common/routing/Types.js';
import {
  RolloutOrderVerdict,
  type RolloutOrderCommand,
  type RolloutVerdictCommand,
} from './RolloutCommands.js';

/** Result of an order. */
export interface RolloutOrderResult {
  readonly verdict: RolloutOrderVerdict;
  /** Rollout of the service after the order. */
  readonly rollout: Rollout | null;
  /** True if the same order had been accepted before. */
  readonly repeated: boolean;
  /** View with the rollout; the unchanged one if nothing was accepted. */
  readonly view: RoutingView;
}

/**
 * Time in which an equal order is a resend, also if its rollout has ended meanwhile: operators
 * resend for at most 4 s, and a request waits for a majority for at most 10 s.
 */
const RESEND_WINDOW_MS = 14_000;

/** Rejected versions kept for each service; older ones have no backend servers any more. */
const REJECTED_VERSIONS_MAX = 8;

/** Rollout of a service, if there was an order. */
export function rolloutOf(view: RoutingView, service: string): Rollout | undefined {
  return view.rollouts?.find((rollout) => rollout.service === service);
}

function withRollout(view: RoutingView, index: number, rollout: Rollout): RoutingView {
  const others = (view.rollouts ?? []).filter(({ service }) => service !== rollout.service);
  return { ...view, index, rollouts: [...others, rollout] };
}

function isSameOrder(rollout: Rollout, command: RolloutOrderCommand): boolean {
  const isSame =
    rollout.toVersion === command.toVersion &&
    rollout.dueAtMs - rollout.orderedAtMs === command.durationMs;
  const isRecent = command.atMs - rollout.orderedAtMs <= RESEND_WINDOW_MS;
  return isSame && (isRecent || rollout.state === RolloutState.Running);
}

/** Versions that stay without calls once a new order replaces an ended rollout. */
function rejectedAfter(previous: Rollout, toVersion: string): string[] {
  const added = previous.state === RolloutState.RolledBack ? [previous.toVersion] : [];
  return [...(previous.rejectedVersions ?? []), ...added]
    .filter((version, index, all) => version !== toVersion && all.indexOf(version) === index)
    .slice(-REJECTED_VERSIONS_MAX);
}

/** Applies an order; deterministic, for every control host. */
export function applyOrder(
  view: RoutingView,
  index: number,
  command: RolloutOrderCommand,
): RolloutOrderResult {
  const { service, toVersion, durationMs, atMs } = command;
  const previous = rolloutOf(view, service) ?? null;
  const result = (verdict: RolloutOrderVerdict, repeated = false): RolloutOrderResult => ({
    verdict,
    rollout: previous,
    repeated,
    view,
  });
  if (previous && isSameOrder(previous, command)) return result(RolloutOrderVerdict.Accepted, true);
  if (previous?.state === RolloutState.Running) return result(RolloutOrderVerdict.Running);
  if (!view.table?.services.some(({ name }) => name === service)) {
    return result(RolloutOrderVerdict.UnknownService);
  }
  const completed =
    previous?.state === RolloutState.Completed ? previous.toVersion : previous?.fromVersion;
  const rejected = previous ? rejectedAfter(previous, toVersion) : [];
  const rollout: Rollout = {
    service,
    toVersion,
    state: RolloutState.Running,
    share: 0,
    dueAtMs: atMs + durationMs,
    orderedAtMs: atMs,
    orderIndex: index,
    shareSinceMs: atMs,
    ...(completed !== undefined && completed !== toVersion && { fromVersion: completed }),
    ...(rejected.length > 0 && { rejectedVersions: rejected }),
  };
  return {
    verdict: RolloutOrderVerdict.Accepted,
    rollout,
    repeated: false,
    view: withRollout(view, index, rollout),
  };
}

/** Applies a verdict; returns the unchanged view if its rollout is no longer running. */
export function applyVerdict(
  view: RoutingView,
  index: number,
  command: RolloutVerdictCommand,
): RoutingView {
  const rollout = rolloutOf(view, command.service);
  if (!rollout || rollout.orderIndex !== command.orderIndex) return view;
  if (rollout.state !== RolloutState.Running) return view;
  const { state, share, atMs } = command;
  return withRollout(view, index, { ...rollout, state, share, shareSinceMs: atMs });
}
