import type { ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';

/** Sends the metrics in the Prometheus text format. */
export function sendMetrics(
  response: ServerResponse,
  registry: Registry,
  onFailed: (error: unknown) => void = () => {},
): void {
  registry.metrics().then(
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
