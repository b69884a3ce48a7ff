import { setTimeout as sleep } from 'node:timers/promises';
import { CrowdConnection } from './CrowdConnection.js';
import type { CrowdClient } from './Types.js';

/** Time without a byte sent after which a crowd counts as held up by the process. */
const HELD_UP_MS = 1_500;

/** Longest time for which a crowd sends. */
const SENDING_MAX_MS = 20_000;

const POLL_MS = 100;

/** Number of connections that are opened at once, less than a listening queue holds. */
const CONNECT_BATCH = 100;

/**
 * Many clients of one address, each on a raw connection that stays open.
 *
 * @example
 * const crowd = await Crowd.send('127.0.0.1:8548', [{ pieces: unendedHead('/read/', 16_384) }]);
 */
export class Crowd {
  private lastSentMs = performance.now();

  private readonly connections: CrowdConnection[] = [];

  private constructor(private readonly address: string) {}

  /** Connects all clients; resolves once they have sent what they can. */
  static async send(address: string, clients: readonly CrowdClient[]): Promise<Crowd> {
    const crowd = new Crowd(address);
    for (let from = 0; from < clients.length; from += CONNECT_BATCH) {
      clients.slice(from, from + CONNECT_BATCH).forEach((client) => crowd.add(client));
      // Connections are opened batch by batch.
      // eslint-disable-next-line no-await-in-loop
      await sleep(10);
    }
    await crowd.settled();
    return crowd;
  }

  /** Starts of the answers that its clients got. */
  get answers(): string[] {
    return this.connections.map(({ received }) => received);
  }

  close(): void {
    this.connections.forEach((connection) => connection.close());
  }

  private add(client: CrowdClient): void {
    const connection = new CrowdConnection(this.address, client, () => {
      this.lastSentMs = performance.now();
    });
    this.connections.push(connection);
    connection.send().catch(() => {});
  }

  private async settled(): Promise<void> {
    const endsMs = performance.now() + SENDING_MAX_MS;
    const isSettled = () =>
      this.connections.every(({ isDone }) => isDone) ||
      performance.now() - this.lastSentMs > HELD_UP_MS ||
      performance.now() > endsMs;
    // The loop polls the connections.
    // eslint-disable-next-line no-await-in-loop
    while (!isSettled()) await sleep(POLL_MS);
  }
}
