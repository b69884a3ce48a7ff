import { Counter, Registry } from 'prom-client';
import { afterEach, describe, expect, it } from 'vitest';
import { MetricsListener } from './MetricsListener.js';

describe('MetricsListener', () => {
  const started: MetricsListener[] = [];
  const failures: unknown[] = [];

  async function start(port: number): Promise<MetricsListener> {
    const registry = new Registry();
    new Counter({ name: 'egret_example', help: 'Example.', registers: [registry] }).inc();
    const listener = new MetricsListener({
      registry,
      address: '127.0.0.1',
      port,
      path: '/metrics',
      onFailed: (error) => failures.push(error),
    });
    started.push(listener);
    await listener.start();
    return listener;
  }

  afterEach(async () => {
    await Promise.all(started.splice(0).map((listener) => listener.stop()));
    failures.length = 0;
  });

  it('serves the metrics only at its path', async () => {
    const { port } = await start(0);
    const text = await (await fetch(`http://127.0.0.1:${port}/metrics`)).text();
    expect(text).toContain('egret_example 1');
    expect((await fetch(`http://127.0.0.1:${port}/other`)).status).toBe(404);
  });

  it('reports a port that is already in use without throwing', async () => {
    const { port } = await start(0);
    await start(port);
    expect(failures).toHaveLength(1);
  });
});
