import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { SOAK_PORTS, type SoakMachine } from '../Deployment.js';
import { send } from '../Http.js';
import { ROUTING_HOST } from './RoutingOperator.js';
import { ProbeKind, type Probe } from './Types.js';

/** Options of {@link RoutingClients}. */
export interface RoutingClientsOptions {
  readonly machines: readonly SoakMachine[];
  readonly nowMs: () => number;
  readonly probes: Probe[];
  /** Newest version that was confirmed. */
  readonly confirmed: () => number;
  readonly everyMs: number;
}

const TIMEOUT_MS = 2_500;

/** Clients that each ask one gateway, on a kept connection, for a moved or an added route. */
export class RoutingClients {
  private isStopped = false;

  private sent = 0;

  private loops: Promise<void>[] = [];

  constructor(private readonly options: RoutingClientsOptions) {}

  start(): void {
    this.loops = this.options.machines.flatMap((machine) =>
      Object.values(ProbeKind).map((kind) => this.run(machine, kind)),
    );
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
  }

  private async run(machine: SoakMachine, kind: ProbeKind): Promise<void> {
    const { nowMs, probes, confirmed, everyMs } = this.options;
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    while (!this.isStopped) {
      this.sent += 1;
      const id = `probe-${this.sent}`;
      const version = confirmed();
      const sentMs = nowMs();
      // Each client waits for its answer before it sends again.
      // eslint-disable-next-line no-await-in-loop
      const { status } = await send({
        address: `${machine.address}:${SOAK_PORTS.callers}`,
        path: kind === ProbeKind.Moved ? '/moved/x' : `/added-${version}/x`,
        headers: { Host: ROUTING_HOST, 'X-Attempt-Id': id, 'X-Deadline-Ms': '1500' },
        agent,
        timeoutMs: TIMEOUT_MS,
      });
      probes.push({ id, machine: machine.name, kind, version, sentMs, status });
      // eslint-disable-next-line no-await-in-loop
      await sleep(everyMs);
    }
    agent.destroy();
  }
}
