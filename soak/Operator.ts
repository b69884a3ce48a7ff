import { createCluster, createRule } from '../standin/ProviderDocuments.js';
import { send, type HttpAnswer } from './Http.js';

/** Services of the soak, the one of non-idempotent calls last. */
export const SOAK_SERVICES = ['ledger', 'dispatch'] as const;

/** Time limit of all routes. */
export const ROUTE_TIMEOUT_MS = 1_500;

const HOST = 'depot.example';

const RETRIES = 12;

/** Operator that changes the routes and follows redirects to the leader. */
export class SoakOperator {
  private version = 0;

  private queue = Promise.resolve();

  constructor(private readonly controlAddresses: () => readonly string[]) {}

  /** Sends a config with `routes` further routes, after the changes before; resolves once it ended. */
  change(routes: number): Promise<void> {
    this.queue = this.queue.then(() => this.sendChange(routes));
    return this.queue;
  }

  private async sendChange(routes: number): Promise<void> {
    const [ledger, dispatch] = SOAK_SERVICES;
    const common = { timeoutMs: ROUTE_TIMEOUT_MS };
    const rules = [
      createRule('read', { ...common, service: ledger, prefix: '/read/' }),
      createRule('order', { ...common, service: dispatch, kind: 'unsafe', prefix: '/order/' }),
      ...Array.from({ length: routes }, (unused, index) =>
        createRule(`more-${index}`, { service: ledger, timeoutMs: 1_000 + this.version }),
      ),
    ];
    const next = this.version + 1;
    const body = JSON.stringify({
      version: `r${next}`,
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 67_108_864,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      listeners: [{ host: HOST, rules }],
      clusters: SOAK_SERVICES.map(createCluster),
    });
    const headers = { 'If-Match': this.version === 0 ? '0' : `r${this.version}` };
    const answer = await this.sendUntilClear('PUT', '/egretcourse/config', { headers, body });
    if (answer.status === 200) this.version = next;
  }

  /** Sends an order to one host after the other until an answer is clear. */
  private async sendUntilClear(
    method: string,
    path: string,
    options: { readonly headers: Record<string, string>; readonly body: string },
    tries = 0,
  ): Promise<HttpAnswer> {
    const addresses = this.controlAddresses();
    const request = { ...options, method, path, timeoutMs: 3_000 };
    let answer = await send({ ...request, address: addresses[tries % addresses.length]! });
    if (answer.status === 307) {
      const { host } = new URL(String(answer.headers.location));
      answer = await send({ ...request, address: host });
    }
    const isClear = answer.status >= 200 && answer.status < 500 && answer.status !== 307;
    if (isClear || tries >= RETRIES) return answer;
    return this.sendUntilClear(method, path, options, tries + 1);
  }
}
