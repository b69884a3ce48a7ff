import type { ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';

/** Texts in progress; requests that arrive meanwhile get the same one. */
const RENDERING = new WeakMap<Registry, Promise<string>>();

function render(registry: Registry): Promise<string> {
  const running = RENDERING.get(registry);
  if (running) return running;
  const text = registry.metrics().finally(() => RENDERING.delete(registry));
  RENDERING.set(registry, text);
  return text;
}

/** Sends the metrics in the Prometheus text format. */
export function sendMetrics(
  response: ServerResponse,
  registry: Registry,
  onFailed: (error: unknown) => void = () => {},
): void {
  render(registry).then(
    (text) => {
      response.writeHead(200, { 'Content-Type': registry.contentType });
      response.end(text);
    },
    (error: unknown) => {
      onFailed(error);
      response.destroy();
    },
  );
}
