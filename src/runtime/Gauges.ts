import { Gauge, type Registry } from 'prom-client';

/**
 * Adds a value that is read whenever the metrics are.
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
