import { setTimeout as delay } from 'node:timers/promises';
import { v7 as uuidV7 } from 'uuid';
import { ZoneState } from '../src/common/Enums.js';
import { sendChange, waitInForce } from '../src/ctl/ChangeSender.js';
import { Caller } from './Caller.js';
import { Cluster } from './Cluster.js';
import { buildTree, OTARU, SWANBOURNE, type Deployment } from './Deployments.js';
import { Percentiles } from './Percentiles.js';

const CALLS_PER_SERVICE = 400;
const CALLERS = 4;
const ZONE_DEADLINE_MS = 3_000;
const ZONE_WATCH_MS = 1_500;
const IN_FORCE_TIMEOUT_MS = 10_000;

/** Output of the demo; a failed expectation makes the demo exit non-zero. */
class Report {
  failures = 0;

  print(line: string): void {
    process.stdout.write(`${line}\n`);
    this.lines += 1;
  }

  expect(holds: boolean, expectation: string): void {
    if (holds) return;
    this.failures += 1;
    this.print(`FAILED: ${expectation}`);
  }

  private lines = 0;
}

function createCallers(cluster: Cluster, deployment: Deployment): Caller[] {
  return Array.from(
    { length: CALLERS },
    (unused, index) =>
      new Caller({
        id: `${deployment.team}-${index}`,
        seeds: cluster.seeds,
        availabilityZone: deployment.availabilityZones[index % deployment.availabilityZones.length],
      }),
  );
}

/** Sends calls to every service and prints their latencies. */
async function showCalls(cluster: Cluster, deployment: Deployment, report: Report): Promise<void> {
  const callers = createCallers(cluster, deployment);
  for (const { service } of deployment.services) {
    const latencies = new Percentiles();
    let failed = 0;
    const load = callers.map(async (caller) => {
      for (let index = 0; index < CALLS_PER_SERVICE / CALLERS; index += 1) {
        // Each caller sends its calls one at a time.
        // eslint-disable-next-line no-await-in-loop
        const answer = await caller.call({ service, path: `/records/${index}` });
        if (answer.statusCode === 200 && answer.complete) latencies.add(answer.durationMs);
        else failed += 1;
      }
    });
    // Services are called one at a time.
    // eslint-disable-next-line no-await-in-loop
    await Promise.all(load);
    report.print(
      `calls team=${deployment.team} service=${service} count=${latencies.count} ` +
        `failed=${failed} p50Ms=${latencies.quantile(0.5).toFixed(1)} p99Ms=${latencies.quantile(0.99).toFixed(1)}`,
    );
    report.expect(failed === 0, `every call to ${service} is answered`);
  }
  callers.forEach((caller) => caller.close());
}

/** Downloads a large bundle and compares its hash. */
async function showBundle(cluster: Cluster, service: string, report: Report): Promise<void> {
  const caller = new Caller({ id: 'bundle', seeds: cluster.seeds });
  const answer = await caller.call({ service, path: '/bundles/shift' });
  const expected = cluster.backendsOf(service)[0]!.bundle.sha256;
  const verified = answer.complete && answer.sha256 === expected;
  report.print(
    `bundle service=${service} bytes=${answer.bodyBytes} verified=${verified} ` +
      `durationMs=${answer.durationMs.toFixed(0)}`,
  );
  report.expect(verified, `the bundle of ${service} is complete and its hash matches`);
  caller.close();
}

/** Sends one order twice, through different entry hosts, and checks that it runs once. */
async function showOrder(
  cluster: Cluster,
  service: string,
  runs: Map<string, number>,
  report: Report,
): Promise<void> {
  const caller = new Caller({ id: 'order', seeds: cluster.seeds });
  const key = uuidV7();
  const send = (via: number) =>
    caller.call({
      service,
      path: '/orders',
      method: 'POST',
      body: '{"crew":7}',
      headers: { 'Idempotency-Key': key },
      via: cluster.seeds[via % cluster.seeds.length],
    });
  const first = await send(0);
  const second = await send(1);
  report.print(
    `order service=${service} first=${first.statusCode} second=${second.statusCode} ` +
      `replayed=${second.headers['egret-replayed'] ?? 'false'} runs=${runs.get(key) ?? 0}`,
  );
  report.expect(runs.get(key) === 1, `an order to ${service} sent twice runs once`);
  report.expect(first.text === second.text, 'both answers are equal');
  caller.close();
}

/** Takes a zone out and in under load, and measures when it receives its last new request. */
async function showZone(cluster: Cluster, deployment: Deployment, report: Report): Promise<void> {
  const zone = deployment.availabilityZones[1]!;
  const { service } = deployment.services[0]!;
  const callers = createCallers(cluster, deployment);
  let running = true;
  const load = callers.map(async (caller) => {
    while (running) {
      // Each caller sends its calls one at a time.
      // eslint-disable-next-line no-await-in-loop
      await caller.call({ service, path: '/records/zone' });
    }
  });
  const inZone = cluster
    .backendsOf(service)
    .filter((item) => item.options.availabilityZone === zone);
  const client = cluster.adminClient();
  const path = `/teams/${deployment.team}/availabilityZones/${zone}/state`;
  const change = async (state: ZoneState) => {
    const startedAtMs = performance.now();
    const accepted = await sendChange(client, { path, value: state });
    const confirmed = await waitInForce(client, accepted.changeId, IN_FORCE_TIMEOUT_MS);
    report.expect(confirmed.progress?.inForce === true, `zone ${state} is in force`);
    return startedAtMs;
  };
  await delay(ZONE_WATCH_MS / 2);
  const outAtMs = await change(ZoneState.Out);
  await delay(ZONE_WATCH_MS);
  const lastAtMs = Math.max(...inZone.map((item) => item.figures.lastRequestAtMs));
  const lastWorkMs = Math.max(0, lastAtMs - outAtMs);
  const inAtMs = await change(ZoneState.In);
  await delay(ZONE_WATCH_MS);
  const servedAgain = inZone.some((item) => item.figures.lastRequestAtMs > inAtMs);
  running = false;
  await Promise.all(load);
  callers.forEach((caller) => caller.close());
  report.print(
    `zone zone=${zone} service=${service} lastNewWorkAfterMs=${lastWorkMs.toFixed(0)} ` +
      `returned=${servedAgain}`,
  );
  report.expect(lastWorkMs < ZONE_DEADLINE_MS, `${zone} receives no new requests after 3 s`);
  report.expect(servedAgain, `${zone} serves again`);
}

async function main(): Promise<number> {
  const report = new Report();
  const startedAtMs = performance.now();
  const runs = new Map<string, number>();
  const deployments = [OTARU, SWANBOURNE];
  const cluster = await Cluster.start({
    deployments,
    tree: buildTree(deployments),
    entryHosts: 6,
    controlHosts: 3,
    runLog: { recordRun: (key) => runs.set(key, (runs.get(key) ?? 0) + 1) },
  });
  await cluster.waitReady();
  const readyMs = performance.now() - startedAtMs;
  report.print(
    `ready control=3 entries=6 backends=${cluster.backends.length} afterMs=${readyMs.toFixed(0)}`,
  );
  const announcedBefore = cluster.backends.reduce(
    (sum, item) => sum + item.announcer!.sentCount,
    0,
  );
  const measuredFromMs = performance.now();
  await showCalls(cluster, OTARU, report);
  await showCalls(cluster, SWANBOURNE, report);
  await showBundle(cluster, 'chartroom', report);
  await showBundle(cluster, 'notice-store', report);
  await showOrder(cluster, 'dispatch', runs, report);
  await showOrder(cluster, 'claims-ledger', runs, report);
  await showZone(cluster, OTARU, report);
  const seconds = (performance.now() - measuredFromMs) / 1000;
  const announced =
    cluster.backends.reduce((sum, item) => sum + item.announcer!.sentCount, 0) - announcedBefore;
  report.print(
    `measuring messagesPerBackendPerSecond=${(announced / cluster.backends.length / seconds).toFixed(2)}`,
  );
  const overSlots = cluster.backends.reduce((sum, item) => sum + item.figures.overSlots, 0);
  report.print(`slots requestsAboveSlots=${overSlots}`);
  report.expect(overSlots === 0, 'no backend server receives more requests at once than its slots');
  await cluster.stop();
  const totalS = (performance.now() - startedAtMs) / 1000;
  report.print(`demo failures=${report.failures} durationS=${totalS.toFixed(1)}`);
  return report.failures === 0 ? 0 : 1;
}

process.exitCode = await main();
