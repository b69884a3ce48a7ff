import { ControlMessageType, type RoutingProgressMessage } from '../common/Messages.js';
import type { ExchangePeers } from './ExchangePeers.js';
import type { GatewayProgress } from './GatewayProgress.js';
import type { RaftState } from './raft/RaftState.js';
import { RaftRole } from './raft/Types.js';

/** Dependencies of {@link RoutingProgress}. */
export interface RoutingProgressOptions {
  readonly raft: RaftState;
  /** Control hosts that may have gateways, with their protocol versions. */
  readonly peers: ExchangePeers;
  readonly gateways: GatewayProgress;
  /** Log index of the routing that this control host has applied. */
  readonly routingIndex: () => number;
  readonly send: (to: string, message: RoutingProgressMessage) => void;
}

/** What has not applied a routing yet, as far as the leader knows. */
export interface MissingProgress {
  readonly gatewayIds: readonly string[];
  /** Those of them that know of it; each applies it or refuses calls within 1.4 s of knowing. */
  readonly awareIds: readonly string[];
  /** Control hosts whose report does not cover the routing yet. */
  readonly controlHostIds: readonly string[];
}

/** What a confirmation by the leader rests on. */
export interface ProgressCoverage {
  /** Gateways in contact, by this host's count and the reports. */
  readonly gateways: number;
  /** Control hosts whose report counts. */
  readonly reported: readonly string[];
  /** Members without a report that counts, with the reason. */
  readonly leftOut: readonly string[];
}

/** Protocol version from which control hosts report the progress of their gateways. */
export const PROGRESS_PROTOCOL = 4;

/**
 * Progress of the routing at the gateways of all control hosts. Each reports to the leader which of
 * its gateways are behind, whenever that changes; a report holds until the next one.
 */
export class RoutingProgress {
  /** Latest reports to this leader, by control host. */
  private readonly reports = new Map<string, RoutingProgressMessage>();

  /** Content of the last report and its receiver; empty if it is to be sent again. */
  private lastReported = '';

  constructor(private readonly options: RoutingProgressOptions) {}

  /** Notes a new link to a control host; what was sent on an earlier one may be lost. */
  onControlLink(memberId: string): void {
    if (memberId === this.options.raft.leaderId) this.lastReported = '';
  }

  /** Forgets the reports to an earlier leadership of this host. */
  onRoleChanged(): void {
    this.reports.clear();
    this.lastReported = '';
  }

  receive(message: RoutingProgressMessage): void {
    if (this.options.raft.role === RaftRole.Leader) this.reports.set(message.from, message);
  }

  /** Reports to the leader if something has changed; called once in each tick. */
  report(nowMs: number): void {
    const { raft, gateways, send } = this.options;
    const { id, leaderId, term } = raft;
    if (leaderId === null || leaderId === id) return;
    const routingIndex = this.options.routingIndex();
    const lagging = gateways.behind(routingIndex, nowMs);
    const behind = lagging.map((gateway) => gateway.id);
    const appliedIndexes = lagging.map(({ appliedIndex }) => appliedIndex);
    const gatewayCount = gateways.contacts(nowMs);
    const knownIndexes = lagging.map(({ knownIndex }) => knownIndex);
    const figures = { routingIndex, gatewayCount, behind, appliedIndexes, knownIndexes };
    const content = JSON.stringify([leaderId, term, figures]);
    if (content === this.lastReported) return;
    this.lastReported = content;
    const type = ControlMessageType.RoutingProgress;
    send(leaderId, { type, from: id, ...figures });
  }

  /** What this leader waits for until a routing is in force at every gateway in contact. */
  missing(index: number, nowMs: number): MissingProgress {
    const { gateways } = this.options;
    // Whether each gateway that is behind knows of the routing, by any of the control hosts it watches.
    const aware = new Map<string, boolean>();
    const note = (id: string, knownIndex: number) =>
      aware.set(id, aware.get(id) === true || knownIndex >= index);
    gateways.behind(index, nowMs).forEach(({ id, knownIndex }) => note(id, knownIndex));
    const controlHostIds: string[] = [];
    this.reportingIds(nowMs).forEach((memberId) => {
      const report = this.reports.get(memberId);
      // A host that replays its log lists only the gateways that are behind what it has replayed.
      const isCovered = report && (report.routingIndex >= index || report.gatewayCount === 0);
      if (!isCovered) {
        controlHostIds.push(memberId);
        return;
      }
      report.behind.forEach((id, position) => {
        const isBehind = (report.appliedIndexes[position] ?? 0) < index;
        if (!isBehind || gateways.hasApplied(id, index)) return;
        note(id, report.knownIndexes?.[position] ?? 0);
      });
    });
    const gatewayIds = [...aware.keys()].sort();
    const awareIds = gatewayIds.filter((id) => aware.get(id));
    return { gatewayIds, awareIds, controlHostIds };
  }

  /** What the answer of {@link missing} rests on at this time, for the log. */
  coverage(nowMs: number): ProgressCoverage {
    const { gateways, raft } = this.options;
    const reporting = new Set(this.reportingIds(nowMs));
    const reported = [...reporting].filter((id) => this.reports.has(id));
    const counts = reported.map((id) => this.reports.get(id)?.gatewayCount ?? 0);
    const leftOut = [...raft.followers.keys()]
      .filter((id) => !reported.includes(id))
      .map((id) => `${id}:${this.leftOutReason(id, reporting)}`);
    return {
      gateways: counts.reduce((sum, count) => sum + count, gateways.contacts(nowMs)),
      reported,
      leftOut,
    };
  }

  private leftOutReason(id: string, reporting: ReadonlySet<string>): string {
    if (reporting.has(id)) return 'no-report';
    if (!this.options.peers.includes(id)) return 'observer';
    return this.options.peers.protocolOf(id) < PROGRESS_PROTOCOL ? 'earlier-version' : 'silent';
  }

  /** Control hosts with a recent acknowledgement that may have gateways, and whose version reports. */
  private reportingIds(nowMs: number): string[] {
    const { peers, raft } = this.options;
    const { followers, timing, silenceFromMs } = raft;
    return [...followers]
      .filter(([, follower]) => {
        const heardAtMs = Math.max(follower.ackedAtMs, silenceFromMs);
        return nowMs - heardAtMs <= timing.electionTimeoutMs;
      })
      .map(([id]) => id)
      .filter((id) => peers.includes(id) && peers.protocolOf(id) >= PROGRESS_PROTOCOL);
  }
}
