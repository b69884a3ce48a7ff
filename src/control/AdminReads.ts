import Result from 'true-myth/result';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { buildCatalog, readPath, subtreeOf } from '../common/SettingsTree.js';
import { withKeyDigests } from '../runtime/KeyDigest.js';
import type { ReplicatedState } from './ReplicatedState.js';
import type { EntrySessions } from './EntrySessions.js';
import type { RaftNode } from './raft/RaftNode.js';
import { rolloutOf } from './rollouts/RolloutBook.js';
import { AdminRequestType, type AdminRequest } from './Types.js';

type RequestOf<T extends AdminRequestType> = Extract<AdminRequest, { type: T }>;
type ReadResult = Result<unknown, EgretError>;

const MAX_AUDIT_LIMIT = 1_000;

/** True if all configuration leases from before a change have expired. */
export type LeaseExpired = (index: number) => boolean;

/** Error for a read of something that does not exist. */
function notFound(detail: string): ReadResult {
  return Result.err(new EgretError(ErrorKind.NotFound, detail));
}

/** Answers read-only administration requests. */
export class AdminReads {
  constructor(
    private readonly replicatedState: ReplicatedState,
    private readonly sessions: EntrySessions,
    private readonly raft: RaftNode,
  ) {}

  /** Reads the replicated state; the caller has confirmed that it is current. */
  read(request: AdminRequest, leaseExpired: LeaseExpired): ReadResult {
    const handler = this.handlers[request.type as keyof typeof this.handlers] as
      ((received: AdminRequest, expired: LeaseExpired) => ReadResult) | undefined;
    if (!handler) return notFound(`Request ${request.type} is not a read request.`);
    return handler(request, leaseExpired);
  }

  private readonly handlers = {
    [AdminRequestType.GetSettings]: (request: RequestOf<AdminRequestType.GetSettings>) => {
      const value = readPath(this.replicatedState.tree, request.path);
      if (value === undefined) return notFound(`Nothing is set at ${request.path}.`);
      return Result.ok({
        path: request.path,
        revision: this.replicatedState.revision,
        subtreeRevision: this.replicatedState.subtreeRevision(subtreeOf(request.path).unwrapOr('')),
        value,
      });
    },
    [AdminRequestType.ShowChange]: (
      request: RequestOf<AdminRequestType.ShowChange>,
      leaseExpired: LeaseExpired,
    ) => {
      const change = this.replicatedState.changeResult(request.changeId);
      if (!change) return notFound(`There is no change ${request.changeId}.`);
      if (change.index === 0) return Result.ok({ change, progress: null });
      const progress = this.sessions.rolloutProgress(change.index, leaseExpired(change.index));
      return Result.ok({ change, progress });
    },
    [AdminRequestType.Audit]: (request: RequestOf<AdminRequestType.Audit>) =>
      Result.ok({
        records: this.replicatedState.auditTrail(
          Math.min(request.limit, MAX_AUDIT_LIMIT),
          request.team,
        ),
      }),
    [AdminRequestType.Services]: () =>
      Result.ok({
        services: [...buildCatalog(this.replicatedState.tree).services.values()].map((item) => ({
          service: item.service,
          team: item.team,
          availabilityZones: item.settings.availabilityZones,
          openZones: item.openZones,
          policy: item.settings.policy,
        })),
      }),
    [AdminRequestType.GetRouting]: ({ includesKeys }: RequestOf<AdminRequestType.GetRouting>) => {
      const { view } = this.replicatedState.routing;
      return Result.ok(includesKeys ? view : withKeyDigests(view));
    },
    [AdminRequestType.ShowRollout]: (request: RequestOf<AdminRequestType.ShowRollout>) => {
      const rollout = rolloutOf(this.replicatedState.routing.view, request.service);
      return rollout
        ? Result.ok<unknown, EgretError>(rollout)
        : notFound(`There was no rollout of service ${request.service}.`);
    },
    [AdminRequestType.EntryHosts]: () =>
      Result.ok({
        revision: this.replicatedState.revision,
        settingsIndex: this.replicatedState.settingsIndex,
        entryHosts: [
          ...this.sessions.list().map((session) => ({
            ...session.entryHost,
            appliedIndex: session.appliedIndex,
            current: session.appliedIndex >= this.replicatedState.settingsIndex,
          })),
          // What they apply is known to the control hosts that they have sessions with.
          ...this.sessions.elsewhere().map((entryHost) => ({
            ...entryHost,
            appliedIndex: null,
            current: null,
          })),
        ],
      }),
    [AdminRequestType.Members]: () => {
      const { state } = this.raft;
      const withMatch = (members: typeof state.log.membership.voters) =>
        members.map((member) => ({
          ...member,
          matchIndex:
            member.id === state.id
              ? state.log.lastIndex
              : (state.followers.get(member.id)?.matchIndex ?? 0),
        }));
      return Result.ok({
        leaderId: state.leaderId,
        term: state.term,
        commitIndex: state.commitIndex,
        voters: withMatch(state.log.membership.voters),
        learners: withMatch(state.log.membership.learners),
      });
    },
  };
}
