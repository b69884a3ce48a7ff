import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import { addGauge } from '../../runtime/Gauges.js';
import type { EntryReducer } from '../EntryReducer.js';
import { CounterName } from '../Types.js';

const HELP: Record<CounterName, string> = {
  [CounterName.Calls]: 'Calls that arrived.',
  [CounterName.Attempts]: 'Attempts at backend servers and peers.',
  [CounterName.Forwards]: 'Calls forwarded to a peer.',
  [CounterName.Retries]: 'Retries.',
  [CounterName.Hedges]: 'Hedged attempts.',
  [CounterName.Refusals]: 'Calls refused by this host.',
  [CounterName.Resumes]: 'Answers continued from another backend server.',
  [CounterName.Quarantined]: 'Calls refused because they ended backend servers.',
  [CounterName.Announcements]: 'Announcements accepted or redirected.',
  [CounterName.LeaseMoves]: 'Leases taken.',
};

const DURATION_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];
const MS_PER_SECOND = 1000;

/** Metrics of an entry host. */
export class EntryMetrics {
  readonly registry = new Registry();

  private readonly counters: Record<CounterName, Counter<'service'>>;

  private readonly durations: Histogram<'service'>;

  /** Refreshed whenever the metrics are read. */
  readonly poolGauge: Gauge<'service' | 'figure'>;

  constructor(reducer: EntryReducer, nowMs: () => number) {
    collectDefaultMetrics({ register: this.registry });
    const registers = [this.registry];
    const entries = Object.values(CounterName).map((name) => [
      name,
      new Counter({
        name: `egret_${name}_total`,
        help: HELP[name],
        labelNames: ['service'] as const,
        registers,
      }),
    ]);
    this.counters = Object.fromEntries(entries) as Record<CounterName, Counter<'service'>>;
    this.durations = new Histogram({
      name: 'egret_call_duration_seconds',
      help: 'Time from the arrival of a call to the end of its answer.',
      labelNames: ['service'] as const,
      buckets: DURATION_BUCKETS_S,
      registers,
    });
    this.addGauges(reducer);
    this.poolGauge = this.createPoolGauge(reducer, nowMs);
  }

  count(counter: CounterName, service: string): void {
    this.counters[counter].inc({ service });
  }

  observe(service: string, durationMs: number): void {
    this.durations.observe({ service }, durationMs / MS_PER_SECOND);
  }

  private addGauges(reducer: EntryReducer): void {
    const { registry } = this;
    const gauge = (name: string, help: string, read: () => number) =>
      addGauge(registry, name, help, read);
    gauge('egret_settings_revision', 'Applied revision.', () => reducer.status().revision);
    gauge('egret_settings_current', '1 while the settings are known to be current.', () =>
      Number(reducer.status().current),
    );
    gauge(
      'egret_control_sessions',
      'Open control sessions.',
      () => reducer.status().controlSessions,
    );
    gauge('egret_entry_hosts', 'Known entry hosts.', () => reducer.status().entryHosts);
    gauge('egret_calls_open', 'Calls under way.', () => reducer.status().calls);
    gauge(
      'egret_claims_unsettled',
      'Results not yet durable.',
      () => reducer.status().unsettledClaims,
    );
  }

  private createPoolGauge(reducer: EntryReducer, nowMs: () => number): Gauge<'service' | 'figure'> {
    return new Gauge({
      name: 'egret_pool',
      help: 'Slots, free slots and queue of the leased backend servers.',
      labelNames: ['service', 'figure'] as const,
      registers: [this.registry],
      collect() {
        this.reset();
        reducer.pools.forEach((pool) => {
          const status = pool.status(nowMs());
          const { service } = pool;
          this.set({ service, figure: 'slots' }, status.slots);
          this.set({ service, figure: 'free' }, status.freeSlots);
          this.set({ service, figure: 'queued' }, status.queued);
          this.set({ service, figure: 'backends' }, pool.records.size);
          const rates = [...pool.records.values()].map((record) => record.announcementsPerSecond);
          this.set({ service, figure: 'measuring_per_second' }, Math.max(0, ...rates));
        });
      },
    });
  }
}
