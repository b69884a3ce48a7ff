import Result from 'true-myth/result';
import { MAX_CLOCK_DRIFT_RATIO } from '../common/Constants.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import type { Rollout } from '../common/rollouts/Types.js';
import { AdminReads } from './AdminReads.js';
import type { ReplicatedState, ApplyResult } from './ReplicatedState.js';
import { authenticate, authorize } from './Authorization.js';
import { CommandType, type Command } from './Commands.js';
import type { EntrySessions } from './EntrySessions.js';
import { isMemberRequest, planMembership } from './MembershipChange.js';
import type { RaftNode } from './raft/RaftNode.js';
import { hasRecentMajority } from './raft/Replication.js';
import {
  RoutingConfirmations,
  type RoutingConfirmationsOptions,
  type RoutingRequest,
} from './RoutingConfirmations.js';
import { isRolloutRequest, proposeRollout } from './rollouts/RolloutRequests.js';
import { RoutingVerdict, type RoutingResult } from './RoutingState.js';
import { checkRoutingSize, checkSettingsSize } from './SizeLimits.js';
import { AdminRequestType, type Actor, type AdminRequest } from './Types.js';

/** Callbacks for the outcome of a proposed command. */
export interface ProposalCallbacks {
  readonly onApplied: (result: ApplyResult) => void;
  /** Called when the host loses leadership; the command may still be applied. */
  readonly onLost: () => void;
}

/** Dependencies of an {@link AdminFlow}. */
export interface AdminFlowOptions {
  readonly raft: RaftNode;
  readonly replicatedState: ReplicatedState;
  readonly sessions: EntrySessions;
  /** Proposes a command; returns false if this host is not the leader. */
  readonly propose: (command: Command, callbacks?: ProposalCallbacks) => boolean;
  /** Starts a linearizable read, which ends in finishRead or failRead. */
  readonly requestRead: (readId: string) => void;
  readonly answer: (requestId: string, body: unknown, error: EgretError | null) => void;
  /** True while applied changes are not yet on enough disks to be confirmed. */
  readonly delaysConfirmation: () => boolean;
  /** What has not applied a routing yet. */
  readonly missing: RoutingConfirmationsOptions['missing'];
  readonly coverage: RoutingConfirmationsOptions['coverage'];
  readonly log: RoutingConfirmationsOptions['log'];
}

/** Times of an event. */
export interface EventTimes {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** Error kind for each verdict on a change of the routing table. */
const ROUTING_ERRORS: Record<RoutingVerdict, ErrorKind | undefined> = {
  [RoutingVerdict.Accepted]: undefined,
  [RoutingVerdict.Conflict]: ErrorKind.Conflict,
  [RoutingVerdict.Invalid]: ErrorKind.InvalidSettings,
};

/** Number of settings changes whose time of application is kept. */
const MAX_APPLIED_TIMES = 1_000;

/** Administration requests at one control host: authorization, changes, membership, reads. */
export class AdminFlow {
  private readonly reads: AdminReads;

  /** Linearizable reads by request id. */
  private readonly pendingReads = new Map<string, AdminRequest>();

  /** Confirmations of applied changes that wait for further voters, by request id. */
  private readonly delayedConfirmations = new Map<string, unknown>();

  private readonly routingConfirmations: RoutingConfirmations;

  /** Requests by change id for changes of the routing that are proposed and not applied yet. */
  private readonly proposedChanges = new Map<string, RoutingRequest[]>();

  /** Local time at which a settings change was applied, by log index. */
  private readonly appliedTimes = new Map<number, number>();

  /** Time of the first event; used for changes whose time of application is not recorded. */
  private startedAtMs = -1;

  private times: EventTimes = { nowMs: 0, wallMs: 0 };

  constructor(private readonly options: AdminFlowOptions) {
    this.reads = new AdminReads(options.replicatedState, options.sessions, options.raft);
    const { missing, coverage, log } = options;
    this.routingConfirmations = new RoutingConfirmations({
      missing,
      coverage,
      log,
      confirm: (requestId, body) => this.confirm(requestId, body),
    });
  }

  /** Sets the times of the event that is handled next. */
  beginEvent(times: EventTimes): void {
    this.times = times;
    if (this.startedAtMs >= 0) return;
    this.startedAtMs = times.nowMs;
    this.recordRouting();
  }

  /** Records that a settings change has been applied on this host. */
  recordApplied(index: number): void {
    this.appliedTimes.set(index, this.times.nowMs);
    if (this.appliedTimes.size > MAX_APPLIED_TIMES) {
      const [oldest] = this.appliedTimes.keys();
      if (oldest !== undefined) this.appliedTimes.delete(oldest);
    }
  }

  /** Records that the routing in force has been applied on this host. */
  recordRouting(): void {
    const { view } = this.options.replicatedState.routing;
    this.routingConfirmations.noteApplied(view, this.times.nowMs);
  }

  /** Handles one request; the answer may be an effect of a later event. */
  request(
    requestId: string,
    tokenHash: string,
    request: AdminRequest,
    authenticatedActor?: Actor,
  ): void {
    const { raft, replicatedState, answer } = this.options;
    if (!raft.isLeader) {
      this.answerNotLeader(requestId);
      return;
    }
    const authenticated = authenticatedActor
      ? Result.ok<Actor, EgretError>(authenticatedActor)
      : authenticate(replicatedState.tree, tokenHash);
    if (authenticated.isErr) {
      answer(requestId, null, authenticated.error);
      return;
    }
    const actor = authenticated.value;
    const authorized = authorize(actor, request);
    if (authorized.isErr) {
      this.auditRefusal(request, actor, authorized.error);
      answer(requestId, null, authorized.error);
      return;
    }
    if (request.type === AdminRequestType.Change) this.proposeChange(requestId, request, actor);
    else if (isRolloutRequest(request)) {
      const received = this.received(requestId);
      proposeRollout(this.options, request, {
        actor,
        wallMs: this.times.wallMs,
        onApplied: (body, error) =>
          error
            ? answer(requestId, null, error)
            : this.confirmRouting(received, body, this.rolloutIndex(request, body)),
        onLost: () => this.answerNotLeader(requestId),
      });
    } else if (request.type === AdminRequestType.ChangeRouting) {
      this.proposeRouting(requestId, request, actor);
    } else if (request.type === AdminRequestType.CloseZone) {
      this.proposeZoneClosure(requestId, request, actor);
    } else if (isMemberRequest(request)) this.proposeMembership(requestId, request, actor);
    else {
      this.pendingReads.set(requestId, request);
      this.options.requestRead(requestId);
    }
  }

  /** Answers a read once a quorum has confirmed that this host is the leader. */
  finishRead(readId: string): void {
    const request = this.pendingReads.get(readId);
    this.pendingReads.delete(readId);
    if (!request) return;
    const result = this.reads.read(request, (index) => this.isLeaseExpired(index));
    if (result.isOk) this.options.answer(readId, result.value, null);
    else this.options.answer(readId, null, result.error);
  }

  failRead(readId: string): void {
    if (this.pendingReads.delete(readId)) this.answerNotLeader(readId);
  }

  /** Confirms an applied change once it is on enough disks. */
  private confirm(requestId: string, body: unknown): void {
    if (this.options.delaysConfirmation()) this.delayedConfirmations.set(requestId, body);
    else this.options.answer(requestId, body, null);
  }

  /** Confirms a change of the routing once the gateways in contact apply it. */
  private confirmRouting(request: RoutingRequest, body: unknown, index = this.routingIndex): void {
    this.routingConfirmations.add(request, body, index, this.times.nowMs);
  }

  /** Request that has just arrived. */
  private received(requestId: string): RoutingRequest {
    return { requestId, arrivedAtMs: this.times.nowMs };
  }

  /** Time from the arrival of the latest confirmed change of the routing to its confirmation. */
  get latestChangeMs(): number {
    return this.routingConfirmations.latestTookMs;
  }

  private get routingIndex(): number {
    return this.options.replicatedState.routing.view.index;
  }

  /** Log index of an order, also of a resent one; that of the routing in force for its end. */
  private rolloutIndex({ type }: AdminRequest, body: unknown): number {
    const isOrder = type === AdminRequestType.StartRollout;
    return isOrder ? (body as Rollout).orderIndex : this.routingIndex;
  }

  /** Sends the confirmations that are due; called periodically. */
  releaseConfirmations(): void {
    this.routingConfirmations.release(this.times.nowMs);
    if (this.options.delaysConfirmation() || this.delayedConfirmations.size === 0) return;
    this.delayedConfirmations.forEach((body, requestId) =>
      this.options.answer(requestId, body, null),
    );
    this.delayedConfirmations.clear();
  }

  /** Answers the changes that wait for their confirmation when the host loses leadership. */
  failConfirmations(): void {
    this.routingConfirmations.takeAll().forEach((requestId) => this.answerNotLeader(requestId));
    [...this.delayedConfirmations.keys()].forEach((requestId) => this.answerNotLeader(requestId));
    this.delayedConfirmations.clear();
  }

  /** Answers a request that failed a check; returns false if it passed. */
  private answerFault(requestId: string, checked: Result<void, EgretError>): boolean {
    if (checked.isErr) this.options.answer(requestId, null, checked.error);
    return checked.isErr;
  }

  private answerNotLeader(requestId: string): void {
    const leader = this.options.raft.state.leaderId ?? 'none';
    const detail = `This control host is not the leader (leader: ${leader}).`;
    this.options.answer(requestId, null, new EgretError(ErrorKind.NoQuorum, detail));
  }

  private auditRefusal(request: AdminRequest, actor: Actor, error: EgretError): void {
    this.options.propose({
      type: CommandType.Refusal,
      path: 'path' in request ? request.path : `/system/${request.type}`,
      kind: error.kind,
      actor: actor.name,
      atMs: this.times.wallMs,
    });
  }

  private proposeChange(
    requestId: string,
    request: Extract<AdminRequest, { type: AdminRequestType.Change }>,
    actor: Actor,
  ): void {
    const { changeId, baseRevision, path, value } = request;
    const { tree } = this.options.replicatedState;
    if (this.answerFault(requestId, checkSettingsSize(tree, path, value))) return;
    const command = { type: CommandType.Change, changeId, baseRevision, path, value } as const;
    this.options.propose(
      { ...command, actor: actor.name, atMs: this.times.wallMs },
      {
        onApplied: ({ change }) => this.confirm(requestId, change),
        onLost: () => this.answerNotLeader(requestId),
      },
    );
  }

  private proposeRouting(
    requestId: string,
    request: Extract<AdminRequest, { type: AdminRequestType.ChangeRouting }>,
    actor: Actor,
  ): void {
    const { changeId, baseVersion, version, edit } = request;
    const received = this.received(requestId);
    if (this.joinRoutingChange(received, changeId)) return;
    const { view } = this.options.replicatedState.routing;
    if (this.answerFault(requestId, checkRoutingSize(view, edit))) return;
    const command = { type: CommandType.RoutingChange, changeId, baseVersion, version } as const;
    const requests = [received];
    this.proposedChanges.set(changeId, requests);
    const end = (answer: (waiting: RoutingRequest) => void) => {
      this.proposedChanges.delete(changeId);
      requests.forEach(answer);
    };
    this.options.propose(
      { ...command, edit, actor: actor.name, atMs: this.times.wallMs },
      {
        onApplied: ({ routing }) => end((waiting) => this.answerRouting(waiting, routing!)),
        onLost: () => end((waiting) => this.answerNotLeader(waiting.requestId)),
      },
    );
  }

  /**
   * Answers a change that is sent again with the result of the first, which may be awaited yet:
   * operators' calls give up sooner than a late gateway applies a change, and each proposal holds the
   * whole change. Returns false if it must be proposed.
   */
  private joinRoutingChange(request: RoutingRequest, changeId: string): boolean {
    const { raft, replicatedState } = this.options;
    const proposed = this.proposedChanges.get(changeId);
    proposed?.push(request);
    if (proposed) return true;
    const repeated = replicatedState.routing.repeatedResult(changeId);
    // A leader that was deposed would not know of the gateways of other control hosts.
    if (!repeated || !hasRecentMajority(raft.state, this.times.nowMs)) return false;
    this.answerRouting(request, repeated);
    return true;
  }

  private answerRouting(request: RoutingRequest, result: RoutingResult): void {
    const kind = ROUTING_ERRORS[result.verdict];
    const index = this.routingConfirmations.indexOf(result.version);
    if (!kind) this.confirmRouting(request, result, index);
    else {
      const error = new EgretError(kind, `${result.detail}.`);
      this.options.answer(request.requestId, result, error);
    }
  }

  private proposeZoneClosure(
    requestId: string,
    request: Extract<AdminRequest, { type: AdminRequestType.CloseZone }>,
    actor: Actor,
  ): void {
    const { zone, closed } = request;
    const received = this.received(requestId);
    const command = { type: CommandType.ZoneClosure, zone, closed } as const;
    this.options.propose(
      { ...command, actor: actor.name, atMs: this.times.wallMs },
      {
        // One that is sent again changes nothing, and does not wait for later changes of other things.
        onApplied: () =>
          this.confirmRouting(
            received,
            { zone, closed },
            this.routingConfirmations.indexOfZone(zone),
          ),
        onLost: () => this.answerNotLeader(requestId),
      },
    );
  }

  private proposeMembership(
    requestId: string,
    request: Parameters<typeof planMembership>[1],
    actor: Actor,
  ): void {
    const planned = planMembership(this.options.raft.state, request);
    if (planned.isErr) {
      this.options.answer(requestId, null, planned.error);
      return;
    }
    const command = { type: CommandType.Membership, membership: planned.value } as const;
    this.options.propose(
      { ...command, actor: actor.name, atMs: this.times.wallMs },
      {
        onApplied: () => this.options.answer(requestId, planned.value, null),
        onLost: () => this.answerNotLeader(requestId),
      },
    );
  }

  /** True once every configuration lease from before the change has expired, drift included. */
  private isLeaseExpired(index: number): boolean {
    const appliedAtMs = this.appliedTimes.get(index) ?? this.startedAtMs;
    const { configLeaseMs } = this.options.replicatedState.tree.system;
    return this.times.nowMs - appliedAtMs > configLeaseMs * (1 + MAX_CLOCK_DRIFT_RATIO);
  }
}
