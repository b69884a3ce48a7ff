import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../../src/common/Random.js';
import { createCluster, createRule } from '../../standin/ProviderDocuments.js';
import { send, type HttpAnswer } from '../Http.js';
import type { SentVersion } from './Types.js';

/** Services that the moved route goes to in turn; an old one shows which version was used. */
export const ROUTING_SERVICES = ['s0', 's1', 's2', 's3', 's4', 's5'] as const;

export const ROUTING_HOST = 'moved.example';

/** Added routes that later versions keep. */
const ADDED_KEPT = 12;

const RETRY_MS = 60;

/** Options of a {@link RoutingOperator}. */
export interface RoutingOperatorOptions {
  readonly addresses: () => readonly string[];
  readonly random: RandomSource;
  readonly nowMs: () => number;
  readonly versions: SentVersion[];
  /** Further routes of each version. */
  readonly moreRoutes: number;
  readonly log: (line: string) => void;
}

/** Operator that moves a route and adds one with each change, at any control host. */
export class RoutingOperator {
  isStopped = false;

  constructor(private readonly options: RoutingOperatorOptions) {}

  /** Newest version that was confirmed; 0 before the first. */
  get confirmed(): number {
    const confirmed = this.options.versions.filter(({ confirmedMs }) => confirmedMs < Infinity);
    return Math.max(0, ...confirmed.map(({ version }) => version));
  }

  /** Sends the next version until a control host confirms it; returns false if it was refused. */
  async change(): Promise<boolean> {
    const { addresses, random, nowMs, versions, log } = this.options;
    const version = versions.length + 1;
    const service = ROUTING_SERVICES[version % ROUTING_SERVICES.length]!;
    const sent: SentVersion = {
      version,
      service,
      sentMs: nowMs(),
      confirmedMs: Infinity,
      confirmedBy: '',
    };
    versions.push(sent);
    const body = this.createBody(version, service);
    const headers = { 'If-Match': version === 1 ? '0' : `r${version - 1}` };
    const order = { method: 'PUT', path: '/egretcourse/config', headers, body };
    while (!this.isStopped) {
      const hosts = addresses();
      let address = hosts[Math.floor(random.next() * hosts.length)]!;
      // An order is sent again until its answer is clear.
      // eslint-disable-next-line no-await-in-loop
      let answer: HttpAnswer = await send({ ...order, address, timeoutMs: 1_500 });
      if (answer.status === 307) {
        address = new URL(String(answer.headers.location)).host;
        // eslint-disable-next-line no-await-in-loop
        answer = await send({ ...order, address, timeoutMs: 1_500 });
      }
      if (answer.status === 200) {
        sent.confirmedMs = nowMs();
        sent.confirmedBy = address;
        log(
          `version ${version} confirmed by ${address} after ${Math.round(nowMs() - sent.sentMs)}`,
        );
        return true;
      }
      if (answer.status >= 400 && answer.status < 500 && ![408, 429].includes(answer.status)) {
        log(`version ${version} refused: ${answer.status} ${answer.body}`);
        return false;
      }
      // eslint-disable-next-line no-await-in-loop
      await sleep(RETRY_MS);
    }
    return false;
  }

  private createBody(version: number, service: string): string {
    const first = Math.max(1, version - ADDED_KEPT);
    const added = Array.from({ length: version - first + 1 }, (unused, index) =>
      createRule(`added-${first + index}`, { service: ROUTING_SERVICES[0], attemptsMax: 3 }),
    );
    const more = Array.from({ length: this.options.moreRoutes }, (unused, index) =>
      createRule(`more-${index}`, { service, timeoutMs: 1_000 + version }),
    );
    return JSON.stringify({
      version: `r${version}`,
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 67_108_864,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      listeners: [
        { host: ROUTING_HOST, rules: [createRule('moved', { service }), ...added, ...more] },
      ],
      clusters: ROUTING_SERVICES.map(createCluster),
    });
  }
}
