import Result from 'true-myth/result';
import { Role } from '../common/Enums.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import type { SettingsTree } from '../common/SettingsSchema.js';
import { subtreeOf } from '../common/SettingsTree.js';
import { AdminRequestType, type Actor, type AdminRequest } from './Types.js';

const ROLE_RANKS: Record<Role, number> = {
  [Role.Reader]: 0,
  [Role.Operator]: 1,
  [Role.Administrator]: 2,
};

/** Lowest role that may send each request. */
const REQUIRED_ROLES: Record<AdminRequestType, Role> = {
  [AdminRequestType.GetSettings]: Role.Reader,
  [AdminRequestType.Change]: Role.Operator,
  [AdminRequestType.ShowChange]: Role.Reader,
  [AdminRequestType.Audit]: Role.Reader,
  [AdminRequestType.Services]: Role.Reader,
  [AdminRequestType.EntryHosts]: Role.Reader,
  [AdminRequestType.Members]: Role.Reader,
  [AdminRequestType.AddMember]: Role.Administrator,
  [AdminRequestType.PromoteMember]: Role.Administrator,
  [AdminRequestType.RemoveMember]: Role.Administrator,
  [AdminRequestType.GetRouting]: Role.Reader,
  [AdminRequestType.ChangeRouting]: Role.Operator,
  [AdminRequestType.CloseZone]: Role.Operator,
  [AdminRequestType.StartRollout]: Role.Operator,
  [AdminRequestType.ShowRollout]: Role.Reader,
  [AdminRequestType.AbortRollout]: Role.Operator,
};

/** Requests about the whole system, which need a token for all teams. */
const SYSTEM_WIDE = new Set([
  AdminRequestType.AddMember,
  AdminRequestType.PromoteMember,
  AdminRequestType.RemoveMember,
  AdminRequestType.ChangeRouting,
  AdminRequestType.CloseZone,
  AdminRequestType.StartRollout,
  AdminRequestType.AbortRollout,
]);

/** Team of a token that covers every team. */
export const ALL_TEAMS = '*';

/**
 * Finds the operator whose token hash is given.
 *
 * @example
 * authenticate(tree, sha256OfToken).isOk;
 */
export function authenticate(tree: SettingsTree, tokenHash: string): Result<Actor, EgretError> {
  const found = Object.entries(tree.system.operators).find(
    ([, operator]) => operator.tokenHash === tokenHash,
  );
  if (!found) return Result.err(new EgretError(ErrorKind.Unauthorized, 'The token is unknown.'));
  const [name, operator] = found;
  return Result.ok({ name, team: operator.team, role: operator.role });
}

/** True if the actor's team covers the path. */
function covers(actor: Actor, path: string): boolean {
  if (actor.team === ALL_TEAMS) return true;
  return subtreeOf(path)
    .map((subtree) => subtree === actor.team && path.startsWith('/teams/'))
    .unwrapOr(false);
}

/**
 * Checks that role and team of the actor allow a request.
 *
 * @example
 * authorize(actor, { type: AdminRequestType.Services }).isOk; // true for every role
 */
export function authorize(actor: Actor, request: AdminRequest): Result<Actor, EgretError> {
  if (ROLE_RANKS[actor.role] < ROLE_RANKS[REQUIRED_ROLES[request.type]]) {
    const detail = `Role ${actor.role} may not send ${request.type}.`;
    return Result.err(new EgretError(ErrorKind.Forbidden, detail));
  }
  const outOfScope =
    (SYSTEM_WIDE.has(request.type) && actor.team !== ALL_TEAMS) ||
    ('path' in request && !covers(actor, request.path)) ||
    (request.type === AdminRequestType.Audit &&
      actor.team !== ALL_TEAMS &&
      request.team !== actor.team);
  if (outOfScope) {
    const detail = `The token of team ${actor.team} does not cover the request.`;
    return Result.err(new EgretError(ErrorKind.Forbidden, detail));
  }
  return Result.ok(actor);
}
