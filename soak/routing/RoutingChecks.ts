import { DisturbanceKind, type Disturbance, type Run } from '../Types.js';
import {
  LinkDisturbanceKind,
  ProbeKind,
  type Finding,
  type Probe,
  type RoutingRecord,
} from './Types.js';

/** Time without a disturbance after which a machine is in touch (`contact_ms`). */
const CONTACT_MS = 3_000;

/** Time after its confirmation by which a version is in force (`config_apply_ms`). */
const APPLY_MS = 2_000;

/** Time after which a machine that has shown a version must use it (`rollback_slack_ms`). */
const ROLLBACK_SLACK_MS = 250;

const STARTS: ReadonlySet<DisturbanceKind> = new Set([
  DisturbanceKind.Kill,
  DisturbanceKind.Terminate,
]);

const overlaps = (
  { fromMs, toMs }: { fromMs: number; toMs: number },
  since: number,
  until: number,
) => fromMs <= until && toMs >= since;

/** True if a disturbance begins or ends within a time. */
const changes = (
  { fromMs, toMs }: { fromMs: number; toMs: number },
  since: number,
  until: number,
) => (fromMs >= since && fromMs <= until) || (toMs >= since && toMs <= until);

/** Core machines that reach more than half of the core at a time. */
function connectedCore(record: RoutingRecord, atMs: number): Set<string> {
  const { coreNames, disturbances, linkDisturbances } = record;
  const isIdle = (name: string) =>
    disturbances.some((other) => other.machine === name && overlaps(other, atMs, atMs));
  const isCut = (a: string, b: string) =>
    linkDisturbances.some(
      (link) =>
        link.kind === LinkDisturbanceKind.Cut &&
        overlaps(link, atMs, atMs) &&
        ((link.machine === a && link.core === b) || (link.machine === b && link.core === a)),
    );
  const running = coreNames.filter((name) => !isIdle(name));
  const reached = (name: string) =>
    running.filter((other) => other === name || !isCut(name, other));
  return new Set(running.filter((name) => reached(name).length > coreNames.length / 2));
}

/**
 * Why a machine is not in touch at a time, in the rules' sense; undefined if it is.
 *
 * @example
 * reasonOutOfTouch(record, 'edge-4', 12_000); // 'core changed'
 */
export function reasonOutOfTouch(
  record: RoutingRecord,
  machine: string,
  atMs: number,
): string | undefined {
  const { coreNames, disturbances, linkDisturbances } = record;
  const sinceMs = atMs - CONTACT_MS;
  const isCore = (name: string) => coreNames.includes(name);
  const own = disturbances.find(
    (other) => other.machine === machine && overlaps(other, sinceMs, atMs),
  );
  if (own) return `${own.kind} of the machine`;
  if (disturbances.some((other) => isCore(other.machine) && changes(other, sinceMs, atMs))) {
    return 'core changed';
  }
  const coreLinks = linkDisturbances.filter((link) => isCore(link.machine));
  const isUnsettled = coreLinks.some((link) =>
    link.kind === LinkDisturbanceKind.Slow
      ? overlaps(link, sinceMs, atMs)
      : changes(link, sinceMs, atMs),
  );
  if (isUnsettled) return 'links of the core changed';
  const connected = connectedCore(record, atMs);
  if (connected.size <= coreNames.length / 2) return 'no connected core';
  const ownLink = linkDisturbances.find(
    (link) =>
      link.machine === machine &&
      overlaps(link, sinceMs, atMs) &&
      (link.kind === LinkDisturbanceKind.Slow || connected.has(link.core)),
  );
  return ownLink && `${ownLink.kind} of its links`;
}

/** Start of the lifetime of the machine's processes that a time falls into. */
function startOfLife(disturbances: readonly Disturbance[], machine: string, atMs: number): number {
  const starts = disturbances
    .filter((other) => other.machine === machine && STARTS.has(other.kind) && other.fromMs <= atMs)
    .map(({ toMs }) => toMs);
  return Math.max(0, ...starts);
}

/**
 * Requests that were handled as only an older version allows: later than allowed after the
 * confirmation of a version, or after the same machine had used it.
 */
export function findOldRouting(record: RoutingRecord): Finding[] {
  const { versions, disturbances } = record;
  const runs = new Map<string, Run>(record.runs.map((run) => [run.id, run]));
  const serviceOf = ({ backend }: Run) => backend.split('-')[0]!;
  /** Newest version that may have handled a request; undefined if it tells nothing. */
  const handledBy = (probe: Probe): number | undefined => {
    const run = runs.get(probe.id);
    if (probe.kind === ProbeKind.Added) {
      if (run) return undefined;
      return probe.status === 404 ? probe.version - 1 : undefined;
    }
    if (!run) return undefined;
    return versions.findLast(
      ({ service, sentMs }) => service === serviceOf(run) && sentMs <= run.atMs,
    )?.version;
  };
  const shown = new Map<string, { version: number; atMs: number }[]>();
  const findings: Finding[] = [];
  const probes = [...record.probes].sort((a, b) => a.sentMs - b.sentMs);
  probes.forEach((probe) => {
    const used = handledBy(probe);
    const run = runs.get(probe.id);
    const seen = shown.get(probe.machine) ?? [];
    shown.set(probe.machine, seen);
    if (used !== undefined) {
      const inForce = versions.findLast(({ confirmedMs }) => probe.sentMs > confirmedMs + APPLY_MS);
      if (inForce && used < inForce.version) {
        const lateMs = Math.round(probe.sentMs - inForce.confirmedMs);
        const detail = `version ${used}, ${lateMs} ms after ${inForce.version} was confirmed by ${inForce.confirmedBy}`;
        const excuse = reasonOutOfTouch(record, probe.machine, probe.sentMs);
        findings.push({ rule: 'late', probe, detail, excuse });
      }
      const lifeMs = startOfLife(disturbances, probe.machine, probe.sentMs);
      const before = seen.find(
        ({ version, atMs }) =>
          version > used && atMs >= lifeMs && probe.sentMs > atMs + ROLLBACK_SLACK_MS,
      );
      if (before) {
        const detail = `version ${used}, after ${before.version} at ${Math.round(before.atMs)}`;
        findings.push({ rule: 'regressed', probe, detail, excuse: undefined });
      }
    }
    // The services of moved routes come round again, so that they show no version for certain.
    if (run && probe.kind === ProbeKind.Added)
      seen.push({ version: probe.version, atMs: run.atMs });
  });
  return findings;
}
