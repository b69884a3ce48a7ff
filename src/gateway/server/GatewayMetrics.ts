import { Counter, Histogram, Registry } from 'prom-client';
import { addGauge } from '../../runtime/Gauges.js';
import type { PickReport, ProbePurpose } from '../admission/ProbeMeter.js';
import type { DispatchOutcomeType } from '../DispatchTypes.js';
import type { RequestKind } from './BackendClient.js';

/** Buckets around latency objectives of 250 ms to 1.5 s. */
const LATENCY_BUCKETS_MS = [25, 50, 100, 150, 200, 250, 300, 400, 600, 800, 1_200, 1_600, 3_000];

/** Buckets by rounds of a pick: one, two and four rounds of probes, and none. */
const PICK_PROBES_BUCKETS = [0, 1, 2, 4, 6, 10, 14];

/** Routes with a label of their own; further ones share one, which limits the time series. */
const ROUTE_LABELS_MAX = 64;

/** Customers with a label of their own; further ones share one, which limits the time series. */
const CUSTOMER_LABELS_MAX = 100;

/** Counters and histograms of one gateway. */
export class GatewayMetrics {
  readonly registry = new Registry();

  private readonly routeLabels = new Set<string>();

  private readonly calls = new Counter({
    name: 'egret_calls_total',
    help: 'Calls by route and outcome.',
    labelNames: ['route', 'outcome'],
    registers: [this.registry],
  });

  private readonly latency = new Histogram({
    name: 'egret_call_ms',
    help: 'Time from a call to its final answer.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly ownAnswers = new Counter({
    name: 'egret_own_answers_total',
    help: 'Answers that this host made itself.',
    labelNames: ['status', 'kind'],
    registers: [this.registry],
  });

  private readonly decisions = new Counter({
    name: 'egret_decisions_total',
    help: 'Decisions by log event.',
    labelNames: ['event'],
    registers: [this.registry],
  });

  private readonly limitedRequests = new Counter({
    name: 'egret_limited_requests_total',
    help: 'Requests to backend servers that name a limit of requests.',
    labelNames: ['kind'],
    registers: [this.registry],
  });

  private readonly probes = new Counter({
    name: 'egret_probes_by_purpose_total',
    help: 'Probes sent by purpose.',
    labelNames: ['purpose'],
    registers: [this.registry],
  });

  private readonly pickProbes = new Histogram({
    name: 'egret_pick_probes',
    help: 'Probes of one pick, by whether it found a backend server.',
    labelNames: ['found'],
    buckets: PICK_PROBES_BUCKETS,
    registers: [this.registry],
  });

  private readonly customerLabels = new Set<string>();

  private readonly capDecisions = new Counter({
    name: 'egret_cap_decisions_total',
    help: 'Calls of customers with a usage cap, by result: admitted, or the reason of a refusal.',
    labelNames: ['customer', 'result'],
    registers: [this.registry],
  });

  noteCapDecision(customer: string, result: string): void {
    const { customerLabels } = this;
    if (customerLabels.size < CUSTOMER_LABELS_MAX) customerLabels.add(customer);
    const label = customerLabels.has(customer) ? customer : 'other';
    this.capDecisions.inc({ customer: label, result });
  }

  /** Counts a request to a backend server that names a limit. */
  noteLimitedRequest(kind: RequestKind): void {
    this.limitedRequests.inc({ kind });
  }

  noteProbe(purpose: ProbePurpose): void {
    this.probes.inc({ purpose });
  }

  notePick({ probes, isFound }: PickReport): void {
    this.pickProbes.observe({ found: String(isFound) }, probes);
  }

  noteCall(route: string, outcome: DispatchOutcomeType, elapsedMs: number): void {
    const label = this.routeLabel(route);
    this.calls.inc({ route: label, outcome });
    this.latency.observe({ route: label }, elapsedMs);
  }

  noteOwnAnswer(status: number, kind: string): void {
    this.ownAnswers.inc({ status: String(status), kind });
  }

  noteDecision(event: string): void {
    this.decisions.inc({ event });
  }

  /** Registers a gauge whose value is read at each scrape. */
  gauge(name: string, help: string, read: () => number): void {
    addGauge(this.registry, name, help, read);
  }

  private routeLabel(route: string): string {
    if (this.routeLabels.has(route)) return route;
    if (this.routeLabels.size >= ROUTE_LABELS_MAX) return 'other';
    this.routeLabels.add(route);
    return route;
  }
}
