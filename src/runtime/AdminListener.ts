import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { answerHalfClosed, answerParserErrors, sendError, sendJson } from './HttpJson.js';
import { ResponseTracker } from './ResponseTracker.js';
import { refuseTunnels } from './TunnelRequests.js';
import { sendMetrics } from './SendMetrics.js';

/** Handler of one path. */
export type AdminHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Options of an {@link AdminListener}. */
export interface AdminListenerOptions {
  /** Server that listens, or will listen, on the administration address. */
  readonly server: Server;
  readonly registry: Registry;
  /** True while the process is ready to serve. */
  readonly isReady: () => boolean;
  /** Handlers of further paths. */
  readonly paths?: Readonly<Record<string, AdminHandler>>;
  /** Handles every other path. */
  readonly handle?: AdminHandler;
}

/** HTTP listener for metrics, health and administration. */
export class AdminListener {
  private readonly responses: ResponseTracker;

  constructor(private readonly options: AdminListenerOptions) {
    const { server } = options;
    this.responses = new ResponseTracker(server);
    server.on('request', (request, response) => this.onRequest(request, response));
    answerParserErrors(server);
    refuseTunnels(server);
    answerHalfClosed(server);
  }

  /** Completes the requests in progress, within `finishMs`, and closes all connections. */
  stop(finishMs = 0): Promise<void> {
    return this.responses.finish(finishMs);
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const path = (request.url ?? '/').split('?')[0]!;
    const handler = this.handlers[path] ?? this.options.paths?.[path] ?? this.options.handle;
    if (handler) {
      handler(request, response);
      return;
    }
    sendError(response, new EgretError(ErrorKind.NotFound, `There is no endpoint at ${path}.`));
  }

  private readonly handlers: Readonly<Record<string, AdminHandler>> = {
    '/healthz': (request, response) => sendJson(response, 200, { status: 'ok' }),
    '/readyz': (request, response) => {
      const ready = this.options.isReady();
      sendJson(response, ready ? 200 : 503, { status: ready ? 'ready' : 'not-ready' });
    },
    '/metrics': (request, response) => sendMetrics(response, this.options.registry),
  };
}
