import { collectDefaultMetrics, type Registry } from 'prom-client';
import { RolloutState } from '../../common/rollouts/Types.js';
import type { EventLoop } from '../../runtime/EventLoop.js';
import { addGauge } from '../../runtime/Gauges.js';
import type { ControlReducer } from '../ControlReducer.js';
import { countVoters, disksThatMayBeLost } from '../raft/LossTolerance.js';
import { recoveriesBefore } from '../raft/Recovery.js';
import type { Storage } from '../storage/Types.js';
import type { ControlEvent } from '../Types.js';

/** What the metrics of a control host are read from. */
export interface ControlMetricsSources {
  readonly reducer: ControlReducer;
  readonly storage: Storage;
  readonly loop: EventLoop<ControlEvent>;
  readonly nowMs: () => number;
  /** Links that wait for a session. */
  readonly waitingLinks: () => number;
  /** Links to other control hosts that were lost since the start. */
  readonly lostLinks: () => number;
  /** Messages that were larger than a link accepts. */
  readonly oversizedMessages: () => number;
}

/**
 * Registers the metrics of a control host; docs/OPERATIONS.md describes those that operators watch.
 *
 * @example
 * registerControlMetrics(registry, { ...sources, waitingLinks: () => admission.size });
 */
export function registerControlMetrics(registry: Registry, sources: ControlMetricsSources): void {
  collectDefaultMetrics({ register: registry });
  const gauge = (name: string, help: string, read: () => number) =>
    addGauge(registry, name, help, read);
  const { reducer, storage, loop } = sources;
  gauge('egret_control_term', 'Current term.', () => reducer.raft.state.term);
  gauge('egret_control_commit_index', 'Commit index.', () => reducer.raft.state.commitIndex);
  gauge('egret_control_is_leader', '1 on the leader.', () => Number(reducer.raft.isLeader));
  gauge('egret_control_recoveries', 'Elections without emptied voters that led to the term.', () =>
    recoveriesBefore(reducer.raft.state.term),
  );
  gauge(
    'egret_control_emptied_voters',
    'Ids of voters that this host counts as emptied.',
    () => reducer.raft.state.emptiedIds.size,
  );
  gauge('egret_control_voters', 'Voters of the membership in force.', () => {
    const { voters } = reducer.raft.state.log.membership;
    return voters.length;
  });
  gauge('egret_control_silent_voters', 'Voters that the leader does not hear (leader).', () =>
    reducer.raft.isLeader ? countVoters(reducer.raft.state).silent : 0,
  );
  gauge(
    'egret_control_disks_may_be_lost',
    'Disks that may be lost simultaneously without the loss of the control plane (leader).',
    () => {
      const { state, isLeader } = reducer.raft;
      return isLeader ? disksThatMayBeLost(countVoters(state), state.hostsLostAtOnce) : 0;
    },
  );
  gauge('egret_control_revision', 'Settings revision.', () => reducer.replicatedState.revision);
  gauge(
    'egret_control_claims',
    'Idempotency keys kept.',
    () => reducer.replicatedState.claims.size,
  );
  gauge('egret_control_waiting', 'Links that wait for a session.', () => sources.waitingLinks());
  gauge('egret_control_sessions', 'Entry-host sessions.', () => reducer.sessions.size);
  gauge(
    'egret_control_undelivered_departures',
    'Departures that a gateway of this host has not acknowledged.',
    () => reducer.backends.undeliveredDepartures,
  );
  gauge('egret_control_rollouts', 'Running rollouts.', () => {
    const { rollouts = [] } = reducer.replicatedState.routing.view;
    return rollouts.filter(({ state }) => state === RolloutState.Running).length;
  });
  gauge(
    'egret_control_rollout_calls',
    'Attempts at new versions in running rollouts, on the leader.',
    () => reducer.steering.exposedCalls,
  );
  gauge(
    'egret_control_routing_in_force_seconds',
    'Time from the commit of the latest change to its application by the last gateway (leader).',
    () => reducer.routingInForce.latestWaitMs / 1_000,
  );
  gauge(
    'egret_control_change_seconds',
    'Time from the arrival of the latest change of the routing to its confirmation (leader).',
    () => reducer.latestChangeMs / 1_000,
  );
  gauge('egret_control_links_lost', 'Links to other control hosts that were lost.', () =>
    sources.lostLinks(),
  );
  gauge(
    'egret_control_gateways_behind',
    'Gateways in contact with this host that have not applied its newest routing.',
    () => reducer.gatewaysBehind(sources.nowMs()),
  );
  gauge(
    'egret_control_oversized_messages',
    'Messages on open links that were not sent, as they are larger than a link accepts.',
    () => sources.oversizedMessages(),
  );
  gauge(
    'egret_control_log_bytes',
    'Encoded size of the entries of the replicated log that no snapshot covers.',
    () => reducer.raft.state.log.bytesBetween(0, reducer.raft.state.log.lastIndex),
  );
  gauge('egret_control_syncs', 'Syncs of the log.', () => storage.syncs);
  gauge('egret_control_events_refused', 'Events lost to a full channel.', () => loop.refused);
}
