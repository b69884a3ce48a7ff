import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRandom } from '../../src/common/Random.js';
import { SoakBackend } from '../Backend.js';
import { SOAK_ZONES, SoakDeployment } from '../Deployment.js';
import type { OwnEnd } from '../Types.js';
import { LinkProxies } from './LinkProxies.js';
import { ROUTING_CAUSES, RoutingCause, type RoutingWorld } from './RoutingCauses.js';
import { findOldRouting, reasonOutOfTouch } from './RoutingChecks.js';
import { RoutingClients } from './RoutingClients.js';
import { ROUTING_SERVICES, RoutingOperator } from './RoutingOperator.js';
import { ProbeKind, type Finding, type RoutingRecord } from './Types.js';

/** Options of {@link runRoutingSoak}. */
export interface RoutingSoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly machines: number;
  readonly coreMachines: number;
  /** Core machines that may be lost at once; a cut takes as many from the others. */
  readonly hostsLostAtOnce: number;
  /** Folder with the built programs in `target`. */
  readonly root: string;
  /** Folder for settings, data, logs and the schedule of this run. */
  readonly folder: string;
  /** Routes of each version beside the moved and the added ones. */
  readonly moreRoutes: number;
  /** Causes to draw from; all by default. */
  readonly causes?: readonly RoutingCause[];
}

/** Result of a run. */
export interface RoutingSoakResult {
  /** Findings that the rules count. */
  readonly findings: readonly Finding[];
  /** Lines for a report. */
  readonly summary: readonly string[];
}

const BACKENDS_PER_SERVICE = 6;

const PROBE_EVERY_MS = 60;

const SETTLE_MS = 3_000;

/** Longest pause between two causes, which overlap, and between two changes. */
const CAUSE_GAP_MAX_MS = 5_000;

const CHANGE_GAP_MAX_MS = 1_500;

function countBy(findings: readonly Finding[]): string {
  const counts = new Map<string, number>();
  findings.forEach(({ excuse = 'counted' }) => counts.set(excuse, (counts.get(excuse) ?? 0) + 1));
  return [...counts].map(([excuse, count]) => `${excuse}: ${count}`).join(', ') || 'none';
}

function summarize(record: RoutingRecord, findings: readonly Finding[]): string[] {
  const { probes, versions } = record;
  const confirmed = versions.filter(({ confirmedMs }) => Number.isFinite(confirmedMs));
  const inTouch = probes.filter(
    ({ machine, sentMs }) => reasonOutOfTouch(record, machine, sentMs) === undefined,
  );
  const waits = confirmed
    .map(({ sentMs, confirmedMs }) => confirmedMs - sentMs)
    .sort((a, b) => a - b);
  const kinds = Object.values(ProbeKind).map(
    (kind) => `${kind}=${probes.filter((probe) => probe.kind === kind).length}`,
  );
  return [
    `versions=${versions.length} confirmed=${confirmed.length} longestConfirmationMs=${Math.round(waits.at(-1) ?? 0)}`,
    `requests=${probes.length} ${kinds.join(' ')} inTouch=${inTouch.length} ran=${record.runs.length}`,
    `disturbances=${record.disturbances.length} linkDisturbances=${record.linkDisturbances.length}`,
    `late: ${countBy(findings.filter(({ rule }) => rule === 'late'))}`,
    `regressed: ${countBy(findings.filter(({ rule }) => rule === 'regressed'))}`,
  ];
}

/**
 * Runs the programs as real processes whose links to control hosts lead through proxies, changes the
 * routing again and again, and checks by which version each gateway handles requests.
 *
 * @example
 * const { findings } = await runRoutingSoak({ ...options, seed: 7 });
 */
export async function runRoutingSoak(options: RoutingSoakOptions): Promise<RoutingSoakResult> {
  const { seed, durationMs, root, folder, moreRoutes } = options;
  const { causes = Object.values(RoutingCause) } = options;
  const startedAtMs = performance.now();
  const nowMs = () => performance.now() - startedAtMs;
  const schedule: string[] = [];
  const log = (line: string) =>
    schedule.push(`${new Date().toISOString()} ${Math.round(nowMs())} ${line}`);
  const random = createRandom(seed);
  const proxies = new LinkProxies();
  const ownEnds: OwnEnd[] = [];
  const record: RoutingRecord = {
    coreNames: Array.from({ length: options.coreMachines }, (unused, index) => `edge-${index + 1}`),
    versions: [],
    probes: [],
    runs: [],
    disturbances: [],
    linkDisturbances: [],
  };
  const deployment = new SoakDeployment({
    root,
    folder,
    machines: options.machines,
    coreMachines: options.coreMachines,
    hostsLostAtOnce: options.hostsLostAtOnce,
    record: { disturbances: record.disturbances, ownEnds },
    nowMs,
    log,
    extras: (machine) => ({
      nodeArguments: ['--require', path.join(root, 'soak/routing/redirect-links.cjs')],
      env: { SOAK_LINKS: JSON.stringify(proxies.redirects(machine)) },
    }),
  });
  const controlAddresses = () => deployment.controlAddresses;
  const backends = ROUTING_SERVICES.flatMap((service) =>
    Array.from(
      { length: BACKENDS_PER_SERVICE },
      (unused, index) =>
        new SoakBackend({
          id: `${service}-${index}`,
          service,
          availabilityZone: SOAK_ZONES[index % SOAK_ZONES.length]!,
          address: deployment.machines[0]!.address,
          controlAddresses,
          record,
          nowMs,
          random,
          isFaulty: false,
        }),
    ),
  );
  const { versions, probes } = record;
  const operator = new RoutingOperator({
    addresses: controlAddresses,
    random,
    nowMs,
    versions,
    moreRoutes,
    log,
  });
  const clients = new RoutingClients({
    machines: deployment.machines,
    nowMs,
    probes,
    confirmed: () => operator.confirmed,
    everyMs: PROBE_EVERY_MS,
  });
  const changeRepeatedly = async () => {
    // eslint-disable-next-line no-await-in-loop
    while (!operator.isStopped && (await operator.change())) {
      // The changes are a series.
      // eslint-disable-next-line no-await-in-loop
      await sleep(random.next() * CHANGE_GAP_MAX_MS);
    }
  };
  try {
    await Promise.all(backends.map((backend) => backend.start()));
    await proxies.start(deployment.machines, deployment.core);
    await deployment.startAll();
    await operator.change();
    await sleep(SETTLE_MS);
    clients.start();
    const changing = changeRepeatedly();
    const { hostsLostAtOnce } = options;
    const world: RoutingWorld = {
      deployment,
      hostsLostAtOnce,
      proxies,
      record,
      random,
      nowMs,
      log,
    };
    const running: Promise<void>[] = [];
    const endsMs = nowMs() + durationMs;
    while (nowMs() < endsMs) {
      const cause = causes[Math.floor(random.next() * causes.length)]!;
      log(cause);
      running.push(ROUTING_CAUSES[cause](world));
      // The schedule is a series.
      // eslint-disable-next-line no-await-in-loop
      await sleep(random.next() * CAUSE_GAP_MAX_MS);
    }
    await Promise.all(running);
    await clients.stop();
    operator.isStopped = true;
    await changing;
  } finally {
    operator.isStopped = true;
    await deployment.stop();
    proxies.stop();
    await Promise.all(backends.map((backend) => backend.stop()));
  }
  const found = findOldRouting(record);
  const describe = ({ rule, probe, detail, excuse }: Finding) =>
    `${rule} ${probe.id} ${probe.kind} at ${probe.machine}, ${Math.round(probe.sentMs)} ms, ` +
    `status ${probe.status}: ${detail} (${excuse ?? 'counted'})`;
  const summary = [
    `seed=${seed} machines=${options.machines} core=${options.coreMachines} lostAtOnce=${options.hostsLostAtOnce} moreRoutes=${moreRoutes} ownEnds=${ownEnds.length}`,
    ...summarize(record, found),
  ];
  const lines = [...schedule, ...summary, ...found.map(describe)];
  writeFileSync(path.join(folder, 'schedule.txt'), `${lines.join('\n')}\n`);
  return { findings: found.filter(({ excuse }) => excuse === undefined), summary };
}
