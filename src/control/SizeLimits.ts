import Result from 'true-myth/result';
import { MAX_MESSAGE_BYTES } from '../common/Constants.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { patchRouting } from '../common/routing/RoutingCheck.js';
import type { RoutingView } from '../common/routing/Types.js';
import type { SettingsTree } from '../common/SettingsSchema.js';
import { writePath } from '../common/SettingsTree.js';
import { encodedBytes } from './EncodedSize.js';
import type { RoutingEdit } from './RoutingCommands.js';

/** Size in bytes of what a message has beside the routing or the settings: zones, rollouts, ids. */
const MESSAGE_REMAINDER_BYTES = 256 * 1024;

/** Largest routing or settings tree, encoded: each is sent to every entry host in one message. */
export const MAX_DISTRIBUTED_BYTES = MAX_MESSAGE_BYTES - MESSAGE_REMAINDER_BYTES;

function checkBytes(name: string, value: unknown): Result<void, EgretError> {
  const bytes = encodedBytes(value);
  if (bytes <= MAX_DISTRIBUTED_BYTES) return Result.ok(undefined);
  const detail = `The ${name} takes ${bytes} bytes, ${MAX_DISTRIBUTED_BYTES} at most.`;
  return Result.err(new EgretError(ErrorKind.BodyTooLarge, detail));
}

/**
 * Checks that a change of the routing and the table that it leads to fit into a message; called
 * before the change enters the log, which no follower could receive any more.
 *
 * @example
 * checkRoutingSize(state.routing.view, { table }).isOk; // true
 */
export function checkRoutingSize(view: RoutingView, edit: RoutingEdit): Result<void, EgretError> {
  if ('table' in edit) return checkBytes('routing', edit.table);
  return checkBytes('patch', edit.patch).andThen(() =>
    checkBytes('routing', view.table && patchRouting(view.table, edit.patch)),
  );
}

/**
 * Checks that a settings tree fits into a message after a change. A change that can not be made is
 * left to the replicated state, which refuses it with the reason.
 *
 * @example
 * checkSettingsSize(state.tree, '/teams/otaru/services/ledger/queueMax', 64).isOk; // true
 */
export function checkSettingsSize(
  tree: SettingsTree,
  path: string,
  value: unknown,
): Result<void, EgretError> {
  const written = writePath(tree, path, value);
  return written.isOk ? checkBytes('settings', written.value) : Result.ok(undefined);
}
