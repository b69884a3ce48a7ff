import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { AuditOutcome, type ChangeResult } from '../control/ReplicatedState.js';
import type { RolloutProgress } from '../control/EntrySessions.js';
import { AdminRequestType } from '../control/Types.js';
import type { AdminClient } from './AdminClient.js';

/** Value at a path, with the subtree revision that a change must name as its base. */
export interface SettingsValue {
  readonly path: string;
  readonly revision: number;
  readonly subtreeRevision: number;
  readonly value: unknown;
}

/** Result of a change with the progress of its rollout. */
export interface ChangeProgress {
  readonly change: ChangeResult;
  readonly progress: RolloutProgress | null;
}

/** Change of one value of the settings tree. */
export interface SettingsChange {
  readonly path: string;
  readonly value: unknown;
  /** Expected revision of the subtree; the current one is read and used if omitted. */
  readonly baseRevision?: number;
  readonly changeId?: string;
}

const POLL_INTERVAL_MS = 100;
const OUTCOME_ERRORS: Partial<Record<AuditOutcome, ErrorKind>> = {
  [AuditOutcome.Conflict]: ErrorKind.Conflict,
  [AuditOutcome.Refused]: ErrorKind.InvalidSettings,
};

/** Returns the path of the subtree whose revision a change at `path` must name. */
function subtreePath(path: string): string {
  const segments = path.split('/').filter((segment) => segment.length > 0);
  return segments[0] === 'teams' ? `/teams/${segments[1] ?? ''}` : '/system';
}

/**
 * Sends one change and fails if it is not accepted.
 *
 * @example
 * await sendChange(client, { path: '/teams/otaru/availabilityZones/yoichi', value });
 * @throws EgretError of kind conflict, invalid-settings, forbidden or no-quorum
 */
export async function sendChange(
  client: AdminClient,
  change: SettingsChange,
): Promise<ChangeResult> {
  let { baseRevision } = change;
  if (baseRevision === undefined) {
    const current = await client.send<SettingsValue>({
      type: AdminRequestType.GetSettings,
      path: subtreePath(change.path),
    });
    baseRevision = current.subtreeRevision;
  }
  const result = await client.send<ChangeResult>({
    type: AdminRequestType.Change,
    changeId: change.changeId ?? randomUUID(),
    baseRevision,
    path: change.path,
    value: change.value,
  });
  const kind = OUTCOME_ERRORS[result.outcome];
  if (kind) throw new EgretError(kind, `${result.detail}.`);
  return result;
}

/** Waits up to `timeoutMs` for a change to be in force on all entry hosts; returns its progress. */
export async function waitInForce(
  client: AdminClient,
  changeId: string,
  timeoutMs: number,
): Promise<ChangeProgress> {
  const deadlineMs = performance.now() + timeoutMs;
  for (;;) {
    // Polls in sequence: each request follows the answer to the one before.
    // eslint-disable-next-line no-await-in-loop
    const latest = await client.send<ChangeProgress>({
      type: AdminRequestType.ShowChange,
      changeId,
    });
    if (latest.progress?.inForce || performance.now() > deadlineMs) return latest;
    // eslint-disable-next-line no-await-in-loop
    await delay(POLL_INTERVAL_MS);
  }
}
