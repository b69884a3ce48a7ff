import { setTimeout as delay } from 'node:timers/promises';
import { PolicyName, ZoneState } from '../src/common/Enums.js';
import { sendChange } from '../src/ctl/ChangeSender.js';
import { Fault } from '../standin/BackendStandin.js';
import { buildTree, OTARU, SWANBOURNE, type Deployment } from '../standin/Deployments.js';
import { Percentiles } from '../standin/Percentiles.js';
import type { ServiceTimeOptions } from '../standin/ServiceTime.js';
import { Fleet } from './Fleet.js';
import { readOption } from './Options.js';
import { printResult, printTable, type BenchRow } from './Table.js';
import type { BackendSpec, LoadStream, RunLoadParams, StreamResult } from './workers/Protocol.js';

/** Disturbance that occurs while a row is measured. */
enum Scenario {
  Calm = 'calm',
  Straggler = 'straggler',
  SuddenCold = 'sudden-cold',
  ZoneOut = 'zone-out-in',
  Noisy = 'noisy',
}

/** Deployment with service times that keep the load within the capacity of this machine. */
interface BenchDeployment {
  readonly deployment: Deployment;
  readonly serviceTime: ServiceTimeOptions;
}

const DEPLOYMENTS: Readonly<Record<string, BenchDeployment>> = {
  otaru: { deployment: OTARU, serviceTime: { meanMs: 30, tailRatio: 0.05, tailMs: 300 } },
  swanbourne: { deployment: SWANBOURNE, serviceTime: { meanMs: 60, tailRatio: 0.05, tailMs: 600 } },
};

const ENTRY_HOSTS = 20;
const ENTRY_PROCESSES = 3;
const LOAD_PROCESSES = 2;
const ROW_MS = 3_000;
const WARM_UP_MS = 2_500;
const PAUSE_MS = 500;
const COLD_REQUESTS = 3;
const SUDDEN_COLD_SHARE = 0.1;
const NOISE_FACTOR = 5;
const CALLERS_PER_SERVICE = 4;
const MS_PER_SECOND = 1_000;

function meanServiceMs({ meanMs, tailRatio, tailMs }: ServiceTimeOptions): number {
  return meanMs * (1 - tailRatio) + tailMs * tailRatio;
}

function buildSpecs({ deployment, serviceTime }: BenchDeployment): BackendSpec[] {
  return deployment.services.flatMap(({ service, backends }) =>
    Array.from({ length: backends }, (unused, index) => ({
      service,
      availabilityZone: deployment.availabilityZones[index % deployment.availabilityZones.length]!,
      slots: deployment.slots,
      serviceTime,
      coldRequests: COLD_REQUESTS,
      announces: true,
    })),
  );
}

/** Streams of four equal callers per service; a noisy one sends at five times its rate. */
function buildStreams(bench: BenchDeployment, loadRatio: number, scenario: Scenario): LoadStream[] {
  const { deployment, serviceTime } = bench;
  return deployment.services.flatMap(({ service, backends }) => {
    const capacity = (backends * deployment.slots * MS_PER_SECOND) / meanServiceMs(serviceTime);
    const ratePerSecond = (capacity * loadRatio) / CALLERS_PER_SERVICE;
    return Array.from({ length: CALLERS_PER_SERVICE }, (unused, index) => ({
      service,
      callerId: index === 0 && scenario === Scenario.Noisy ? 'noisy' : `caller-${index}`,
      ratePerSecond:
        index === 0 && scenario === Scenario.Noisy ? ratePerSecond * NOISE_FACTOR : ratePerSecond,
    }));
  });
}

/** Options of the bench. */
interface RunOptions {
  readonly bench: BenchDeployment;
  readonly asksByService: boolean;
  readonly loadRatios: readonly number[];
  readonly scenarios: readonly Scenario[];
  readonly policies: readonly PolicyName[];
}

/** Measures the rows of one policy on a separate fleet. */
class PolicyRun {
  private seed = 1;

  constructor(
    private readonly fleet: Fleet,
    private readonly options: RunOptions,
    private readonly policy: PolicyName,
  ) {}

  async warmUp(): Promise<void> {
    await this.load(0.5, Scenario.Calm, WARM_UP_MS);
    await this.load(0.7, Scenario.Calm, WARM_UP_MS);
  }

  async measureRow(loadRatio: number, scenario: Scenario): Promise<BenchRow> {
    await this.load(loadRatio, Scenario.Calm, WARM_UP_MS / 2);
    await this.fleet.backends.call('reset');
    const before = await this.fleet.counters();
    await this.fleet.utilizations();
    const startedAtMs = performance.now();
    const scenarioApplied = this.applyScenario(scenario);
    const results = await this.load(loadRatio, scenario, ROW_MS);
    await scenarioApplied;
    const seconds = (performance.now() - startedAtMs) / MS_PER_SECOND;
    const after = await this.fleet.counters();
    const utilizations = await this.fleet.utilizations();
    await this.revertScenario(scenario);
    const row = await this.summarize(loadRatio, scenario, results, seconds);
    const increase = (name: string) => (after[name] ?? 0) - (before[name] ?? 0);
    const calls = Math.max(
      1,
      results.reduce((sum, item) => sum + item.latenciesMs.length, 0),
    );
    return {
      ...row,
      forwardedPercent: (increase('egret_forwards_total') / calls) * 100,
      retriesPercent: (increase('egret_retries_total') / calls) * 100,
      ...utilizations,
      hedgesPercent: (increase('egret_hedges_total') / calls) * 100,
    };
  }

  private async load(
    loadRatio: number,
    scenario: Scenario,
    durationMs: number,
  ): Promise<StreamResult[]> {
    const { bench, asksByService } = this.options;
    const streams = buildStreams(bench, loadRatio, scenario);
    const parts = await Promise.all(
      this.fleet.loads.map((worker, index) => {
        this.seed += 1;
        const params: RunLoadParams = {
          durationMs,
          asksByService,
          seeds: this.fleet.seeds,
          zones: bench.deployment.availabilityZones,
          seed: this.seed,
          streams: streams.filter(
            (stream, streamIndex) => streamIndex % this.fleet.loads.length === index,
          ),
        };
        return worker.call<StreamResult[]>('run', params);
      }),
    );
    await delay(PAUSE_MS);
    return parts.flat();
  }

  /** Indices of the backend servers with a fault: the first of each service, or a tenth of all. */
  private affectedBackends(scenario: Scenario): number[] {
    const specs = buildSpecs(this.options.bench);
    if (scenario === Scenario.Straggler) {
      return this.options.bench.deployment.services.map(({ service }) =>
        specs.findIndex((spec) => spec.service === service),
      );
    }
    const stride = Math.round(1 / SUDDEN_COLD_SHARE);
    return specs.map((spec, index) => index).filter((index) => index % stride === 0);
  }

  private async changeZone(state: ZoneState): Promise<void> {
    const { team, availabilityZones } = this.options.bench.deployment;
    const path = `/teams/${team}/availabilityZones/${availabilityZones[1]}/state`;
    await sendChange(this.fleet.adminClient(), { path, value: state });
  }

  /** Applies the scenario while the load runs. */
  private async applyScenario(scenario: Scenario): Promise<void> {
    const indices = this.affectedBackends(scenario);
    if (scenario === Scenario.Straggler) {
      await this.fleet.backends.call('setFault', { indices, fault: Fault.Straggle });
    } else if (scenario === Scenario.SuddenCold) {
      await delay(ROW_MS / 4);
      await this.fleet.backends.call('turnCold', { indices });
    } else if (scenario === Scenario.ZoneOut) {
      await delay(ROW_MS / 4);
      await this.changeZone(ZoneState.Out);
      await delay(ROW_MS / 3);
      await this.changeZone(ZoneState.In);
    }
  }

  private async revertScenario(scenario: Scenario): Promise<void> {
    if (scenario !== Scenario.Straggler) return;
    const indices = this.affectedBackends(scenario);
    await this.fleet.backends.call('setFault', { indices, fault: Fault.None });
  }

  private async summarize(
    loadRatio: number,
    scenario: Scenario,
    results: readonly StreamResult[],
    seconds: number,
  ): Promise<BenchRow> {
    const latencies = new Percentiles();
    // The noisy caller is left out: the row shows its effect on the other callers.
    const measured = results.filter((item) => item.callerId !== 'noisy');
    measured.forEach((item) => item.latenciesMs.forEach((value) => latencies.add(value)));
    const sum = (field: 'refusedNotRun' | 'failed') =>
      measured.reduce((total, item) => total + item[field], 0);
    const figures = await this.fleet.backendFigures();
    const overSlotsCount = figures.reduce((total, item) => total + item.overSlots, 0);
    const overColdCount = figures.reduce((total, item) => total + item.overCold, 0);
    const requests = figures.reduce((total, item) => total + item.requests, 0);
    const announcements = figures.reduce((total, item) => total + item.announcements, 0);
    return {
      policy: this.policy,
      usePercent: Math.round(loadRatio * 100),
      scenario,
      calls: latencies.count,
      p50Ms: latencies.quantile(0.5),
      p99Ms: latencies.quantile(0.99),
      p999Ms: latencies.quantile(0.999),
      refused: sum('refusedNotRun'),
      failed: sum('failed'),
      peakInFlight: Math.max(...figures.map((item) => item.peakInFlight)),
      overSlots: overSlotsCount,
      overSlotsPercent: (overSlotsCount / Math.max(1, requests)) * 100,
      overCold:
        scenario === Scenario.SuddenCold || scenario === Scenario.ZoneOut
          ? overColdCount - overSlotsCount
          : 0,
      measuringPerSecond: announcements / figures.length / seconds,
    };
  }
}

async function runPolicy(options: RunOptions, policy: PolicyName): Promise<BenchRow[]> {
  const { bench } = options;
  const fleet = await Fleet.start({
    tree: buildTree([bench.deployment], {}, { policy }),
    zones: bench.deployment.availabilityZones,
    controlHosts: 1,
    entryHosts: ENTRY_HOSTS,
    entryProcesses: ENTRY_PROCESSES,
    loadProcesses: LOAD_PROCESSES,
    backends: buildSpecs(bench),
  });
  const run = new PolicyRun(fleet, options, policy);
  const rows: BenchRow[] = [];
  try {
    await run.warmUp();
    for (const loadRatio of options.loadRatios) {
      for (const scenario of options.scenarios) {
        // Rows are measured one after the other.
        // eslint-disable-next-line no-await-in-loop
        const row = await run.measureRow(loadRatio, scenario);
        rows.push(row);
        process.stderr.write(`${policy} ${loadRatio} ${scenario} p99Ms=${row.p99Ms}\n`);
      }
    }
  } finally {
    await fleet.stop();
  }
  return rows;
}

/** Compares the policies in one run on real sockets. */
export async function benchPolicies(args: readonly string[]): Promise<void> {
  const name = readOption(args, '--deployment', 'otaru');
  const bench = DEPLOYMENTS[name];
  if (!bench) throw new Error(`use one of: ${Object.keys(DEPLOYMENTS).join(', ')}`);
  const readList = (option: string, fallback: readonly string[]) =>
    readOption(args, option, fallback.join(',')).split(',');
  const options: RunOptions = {
    bench,
    asksByService: !args.includes('--without-service'),
    loadRatios: readList('--use', ['50', '70', '85']).map((percent) => Number(percent) / 100),
    scenarios: readList('--scenarios', Object.values(Scenario)) as Scenario[],
    policies: readList('--policies', Object.values(PolicyName)) as PolicyName[],
  };
  const rows: BenchRow[] = [];
  for (const policy of options.policies) {
    // One fleet at a time, so that none disturbs another.
    // eslint-disable-next-line no-await-in-loop
    rows.push(...(await runPolicy(options, policy)));
  }
  rows.sort(
    (a, b) =>
      Number(a.usePercent) - Number(b.usePercent) ||
      options.scenarios.indexOf(a.scenario as Scenario) -
        options.scenarios.indexOf(b.scenario as Scenario),
  );
  printTable(rows);
  const leaseholderRows = rows.filter((row) => row.policy === PolicyName.Leaseholder);
  const hasLowestP99 = (row: BenchRow) =>
    rows
      .filter((other) => other.usePercent === row.usePercent && other.scenario === row.scenario)
      .every((other) => Number(row.p99Ms) <= Number(other.p99Ms));
  printResult(`policies-${name}`, {
    byService: options.asksByService ? 1 : 0,
    rows: leaseholderRows.length,
    rowsBestP99: leaseholderRows.filter(hasLowestP99).length,
    overSlots: leaseholderRows.reduce((sum, row) => sum + Number(row.overSlots), 0),
    overCold: leaseholderRows.reduce((sum, row) => sum + Number(row.overCold), 0),
    measuringPerSecond: Math.max(...leaseholderRows.map((row) => Number(row.measuringPerSecond))),
  });
}
