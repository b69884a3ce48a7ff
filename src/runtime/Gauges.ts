import { Gauge, type Registry } from 'prom-client';

/**
 * Adds a gauge whose value is read at every collection of the metrics.
 *
 * @example
 * addGauge(registry, 'egret_backends', 'Backend servers known.', () => pool.size);
 */
export function addGauge(registry: Registry, name: string, help: string, read: () => number): void {
  const gauge: Gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect: () => gauge.set(read()),
  });
}
