import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../src/common/Random.js';
import { oddRequests } from '../standin/OddRequests.js';
import { sendBytes } from '../standin/SendBytes.js';
import { SOAK_PORTS, type SoakMachine } from './Deployment.js';

/** Longest pause of a client between two connections. */
const PAUSE_MAX_MS = 150;

/** Longest time after which a client leaves that has sent requests. */
const LEAVE_MAX_MS = 400;

/** Longest time after which a client resets its connection: an answer takes some milliseconds. */
const RESET_MAX_MS = 40;

/** Requests of a client that leaves, the first of which may have a long answer. */
const LEAVING_REQUESTS = 4;

const [LINKS_PORT] = SOAK_PORTS.hosts;

/** Ports, each with a path that no odd request can use to change the deployment. */
const TARGETS: readonly (readonly [port: number, path: string])[] = [
  [SOAK_PORTS.callers, '/read/x'],
  [SOAK_PORTS.readiness, '/egretcourse/readiness'],
  [SOAK_PORTS.directory, '/egretcourse/resolve?zone=yoichi'],
  [SOAK_PORTS.control, '/egretcourse/instances/i-odd'],
  [LINKS_PORT, '/egret/v1/control/join'],
  [LINKS_PORT + 1, '/egret/v1/admin/change'],
  [LINKS_PORT + 2, '/read/x'],
];

/** Options of {@link OddClients}. */
export interface OddClientsOptions {
  readonly machines: readonly SoakMachine[];
  readonly random: RandomSource;
}

/** Clients that send odd requests to every port, reset their connections, or leave before an answer. */
export class OddClients {
  private isStopped = false;

  private sent = 0;

  private readonly loops: Promise<void>[] = [];

  private readonly inputs = TARGETS.map(([port, path]) => ({
    port,
    requests: oddRequests({ path, host: 'depot.example' }),
  }));

  constructor(private readonly options: OddClientsOptions) {}

  start(): void {
    this.options.machines.forEach(({ address }) => {
      this.loops.push(
        this.repeat(() => this.sendOdd(address)),
        this.repeat(() => this.leave(address)),
        this.repeat(() => this.reset(address)),
      );
    });
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
  }

  private async repeat(act: () => Promise<unknown>): Promise<void> {
    while (!this.isStopped) {
      // A client has one connection at a time.
      // eslint-disable-next-line no-await-in-loop
      await act();
      // eslint-disable-next-line no-await-in-loop
      await sleep(this.options.random.next() * PAUSE_MAX_MS);
    }
  }

  private draw<T>(items: readonly T[]): T {
    return items[Math.floor(this.options.random.next() * items.length)]!;
  }

  private sendOdd(host: string): Promise<string> {
    const { port, requests } = this.draw(this.inputs);
    return sendBytes(port, this.draw(requests).bytes, { host });
  }

  /** Sends an odd request, or one for another protocol, and resets the connection at any moment. */
  private async reset(host: string): Promise<void> {
    const { random } = this.options;
    const { port, requests } = this.draw(this.inputs);
    const upgrades = requests.filter(
      ({ name }) => name.includes('upgrade') || name.includes('CONNECT'),
    );
    const { bytes } = this.draw(random.next() < 0.5 ? upgrades : requests);
    const socket = connect({ host, port });
    socket.on('error', () => {});
    socket.write(Buffer.from(bytes, 'latin1'));
    await sleep(random.next() * RESET_MAX_MS);
    socket.resetAndDestroy();
  }

  /** Sends requests ahead and closes or resets the connection at any moment. */
  private async leave(host: string): Promise<void> {
    const socket = connect({ host, port: SOAK_PORTS.callers });
    socket.on('error', () => {});
    const requests = Array.from({ length: LEAVING_REQUESTS }, () => {
      this.sent += 1;
      const headers = `Host: depot.example\r\nX-Attempt-Id: leave-${this.sent}\r\n`;
      return `GET /read/x HTTP/1.1\r\n${headers}X-Deadline-Ms: 2000\r\n\r\n`;
    });
    socket.write(requests.join(''));
    if (this.options.random.next() < 0.5) socket.resume();
    await sleep(this.options.random.next() * LEAVE_MAX_MS);
    if (this.options.random.next() < 0.5) socket.destroy();
    else socket.resetAndDestroy();
  }
}
