import { createServer, type Server } from 'node:http';
import type { Registry } from 'prom-client';
import { closeServer } from './HttpJson.js';
import { listenWhenFree, RELEASE_MS } from './Listen.js';
import { PortUse, type ProtectServer } from './ProcessLimits.js';
import { refuseTunnels } from './TunnelRequests.js';
import { sendMetrics } from './SendMetrics.js';

/** Options of a {@link MetricsListener}. */
export interface MetricsListenerOptions {
  readonly registry: Registry;
  readonly address: string;
  readonly port: number;
  readonly path: string;
  /** Called on every failure; a failure of the metrics never ends the process. */
  readonly onFailed: (error: unknown) => void;
  readonly protect?: ProtectServer;
}

/** Serves metrics in the Prometheus text format. */
export class MetricsListener {
  private readonly server: Server;

  private boundPort = 0;

  constructor(private readonly options: MetricsListenerOptions) {
    const { registry, path, onFailed } = options;
    this.server = createServer((request, response) => {
      if ((request.url ?? '').split('?')[0] !== path) {
        response.writeHead(404, { 'Content-Length': 0 });
        response.end();
        return;
      }
      sendMetrics(response, registry, onFailed);
    });
    refuseTunnels(this.server);
    options.protect?.(this.server, PortUse.Metrics);
  }

  get port(): number {
    return this.boundPort;
  }

  /** Starts listening; a port that cannot be bound is only reported to `onFailed`. */
  async start(): Promise<void> {
    const { address, port, onFailed } = this.options;
    try {
      this.boundPort = await listenWhenFree(this.server, { address, port, patienceMs: RELEASE_MS });
    } catch (error) {
      onFailed(error);
    }
  }

  stop(): Promise<void> {
    return closeServer(this.server);
  }
}
