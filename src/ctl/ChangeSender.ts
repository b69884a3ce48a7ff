import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { AuditOutcome, type ChangeResult } from '../control/ReplicatedState.js';
import type { RolloutProgress } from '../control/EntrySessions.js';
import { AdminRequestType } from '../control/Types.js';
import type { AdminClient } from './AdminClient.js';

/** Value at a path with the revision that a change must name. */
export interface SettingsValue {
  readonly path: string;
  readonly revision: number;
  readonly subtreeRevision: number;
  readonly value: unknown;
}

/** Change with its progress. */
export interface ChangeProgress {
  readonly change: ChangeResult;
  readonly progress: RolloutProgress | null;
}

/** One change of the settings tree. */
export interface WantedChange {
  readonly path: string;
  readonly value: unknown;
  /** Revision of the subtree; read first if it isn't given. */
  readonly baseRevision?: number;
  readonly changeId?: string;
}

const POLL_MS = 100;
const OUTCOME_ERRORS: Partial<Record<AuditOutcome, ErrorKind>> = {
  [AuditOutcome.Conflict]: ErrorKind.Conflict,
  [AuditOutcome.Refused]: ErrorKind.InvalidSettings,
};

/** Path of the subtree whose revision counts. */
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
export async function sendChange(client: AdminClient, wanted: WantedChange): Promise<ChangeResult> {
  let { baseRevision } = wanted;
  if (baseRevision === undefined) {
    const current = await client.send<SettingsValue>({
      type: AdminRequestType.GetSettings,
      path: subtreePath(wanted.path),
    });
    baseRevision = current.subtreeRevision;
  }
  const result = await client.send<ChangeResult>({
    type: AdminRequestType.Change,
    changeId: wanted.changeId ?? randomUUID(),
    baseRevision,
    path: wanted.path,
    value: wanted.value,
  });
  const kind = OUTCOME_ERRORS[result.outcome];
  if (kind) throw new EgretError(kind, `${result.detail}.`);
  return result;
}

/** Waits until a change is in force on every entry host. */
export async function waitInForce(
  client: AdminClient,
  changeId: string,
  timeoutMs: number,
): Promise<ChangeProgress> {
  const untilMs = performance.now() + timeoutMs;
  for (;;) {
    // Each round depends on the one before.
    // eslint-disable-next-line no-await-in-loop
    const shown = await client.send<ChangeProgress>({
      type: AdminRequestType.ShowChange,
      changeId,
    });
    if (shown.progress?.inForce || performance.now() > untilMs) return shown;
    // eslint-disable-next-line no-await-in-loop
    await delay(POLL_MS);
  }
}
