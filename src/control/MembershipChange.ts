import Result from 'true-myth/result';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { hasCommittedInTerm } from './raft/Replication.js';
import type { RaftState } from './raft/RaftState.js';
import type { Member, Membership } from './raft/Types.js';
import { AdminRequestType, type AdminRequest } from './Types.js';

/** Maximum number of voters of a cluster. */
export const MAX_VOTERS = 7;

/** Log entries by which a learner may lag behind when an operator promotes it to voter. */
const MAX_PROMOTION_LAG = 16;

type MemberRequest = Extract<
  AdminRequest,
  {
    type:
      AdminRequestType.AddMember | AdminRequestType.PromoteMember | AdminRequestType.RemoveMember;
  }
>;
type RequestOf<T extends AdminRequestType> = Extract<AdminRequest, { type: T }>;
type PlanResult = Result<Membership, EgretError>;

function refuse(detail: string): PlanResult {
  return Result.err(new EgretError(ErrorKind.Conflict, detail));
}

function planAdd(state: RaftState, request: RequestOf<AdminRequestType.AddMember>): PlanResult {
  const { voters, learners } = state.log.membership;
  if ([...voters, ...learners].some((member) => member.id === request.id)) {
    return refuse(`Member ${request.id} exists; a replaced host needs a new id.`);
  }
  const { id, address, port } = request;
  return Result.ok({ voters, learners: [...learners, { id, address, port }] });
}

function planPromote(
  state: RaftState,
  request: RequestOf<AdminRequestType.PromoteMember>,
): PlanResult {
  const { voters, learners } = state.log.membership;
  const learner = learners.find((member) => member.id === request.id);
  if (learner?.observer) return refuse(`Member ${request.id} has no disk and can't be a voter.`);
  if (!learner) return refuse(`There is no non-voting member ${request.id}; add it first.`);
  if (voters.length >= MAX_VOTERS) return refuse(`The cluster has ${MAX_VOTERS} voters already.`);
  const matchIndex = state.followers.get(request.id)?.matchIndex ?? 0;
  if (state.log.lastIndex - matchIndex > MAX_PROMOTION_LAG) {
    return refuse(`Member ${request.id} has not caught up: ${matchIndex}/${state.log.lastIndex}.`);
  }
  const instanceId = state.instanceIds.get(request.id);
  return Result.ok({
    voters: [...voters, { ...learner, instanceId }],
    learners: learners.filter((member) => member.id !== request.id),
  });
}

function planRemove(
  state: RaftState,
  request: RequestOf<AdminRequestType.RemoveMember>,
): PlanResult {
  const { voters, learners } = state.log.membership;
  const without = (members: readonly Member[]) =>
    members.filter((member) => member.id !== request.id);
  const next = { voters: without(voters), learners: without(learners) };
  if (next.voters.length === voters.length && next.learners.length === learners.length) {
    return refuse(`There is no member ${request.id}.`);
  }
  if (next.voters.length === 0) return refuse('The last voter cannot be removed.');
  return Result.ok(next);
}

const PLANNERS: {
  [T in MemberRequest['type']]: (state: RaftState, request: RequestOf<T>) => PlanResult;
} = {
  [AdminRequestType.AddMember]: planAdd,
  [AdminRequestType.PromoteMember]: planPromote,
  [AdminRequestType.RemoveMember]: planRemove,
};

/** True for requests that change the membership. */
export function isMemberRequest(request: AdminRequest): request is MemberRequest {
  return request.type in PLANNERS;
}

/**
 * Plans the next membership: one change at a time, and only after an entry of the leader's own
 * term is committed (the condition that single-server changes need).
 *
 * @example
 * planMembership(node.state, { type: AdminRequestType.RemoveMember, id: 'control-2' });
 */
export function planMembership(state: RaftState, request: MemberRequest): PlanResult {
  if (state.log.membershipIndex > state.commitIndex || !hasCommittedInTerm(state)) {
    return refuse('Another membership change is in progress.');
  }
  const plan = PLANNERS[request.type] as (target: RaftState, received: MemberRequest) => PlanResult;
  return plan(state, request);
}

/** Membership with newly received instance ids of voters filled in; undefined if there are none. */
export function withInstanceIds(state: RaftState): Membership | undefined {
  const { voters, learners } = state.log.membership;
  const updated = voters.map((member) => {
    const reported = member.id === state.id ? state.instanceId : state.instanceIds.get(member.id);
    return member.instanceId || !reported ? member : { ...member, instanceId: reported };
  });
  const changed = updated.some((member, position) => member !== voters[position]);
  return changed ? { voters: updated, learners } : undefined;
}
