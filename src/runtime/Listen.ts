import { createServer, type Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { listen } from './HttpJson.js';

/** Address that a server waits for, and how long. */
export interface ListenOptions {
  readonly address: string;
  /** TCP port; 0 for any free one. */
  readonly port: number;
  /** Longest wait for an address that is in use. */
  readonly patienceMs: number;
  /** Called once if the address is in use at first. */
  readonly onInUse?: (address: string, port: number) => void;
}

/**
 * Time after the planned stop of a process in which it has ended and its addresses are free; a
 * supervisor kills one that takes longer than its stop.
 */
export const RELEASE_MS = 1_000;

/** Time between two attempts to listen. */
const RETRY_MS = 50;

function isInUse(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'EADDRINUSE';
}

/**
 * Listens on an address, and waits for it while another process has it: a supervisor may start a
 * process while the one before it completes its planned stop.
 *
 * @example
 * const port = await listenWhenFree(server, { address: '10.0.0.4', port: 7540, patienceMs: 7_000 });
 * @returns the port
 * @throws the error of Node.js, of code EADDRINUSE after the wait
 */
export async function listenWhenFree(server: Server, options: ListenOptions): Promise<number> {
  const { address, port, patienceMs, onInUse } = options;
  try {
    return await listen(server, address, port);
  } catch (error) {
    if (!isInUse(error) || patienceMs <= 0) throw error;
    onInUse?.(address, port);
  }
  await sleep(RETRY_MS);
  return listenWhenFree(server, { address, port, patienceMs: patienceMs - RETRY_MS });
}

/**
 * Creates a server that listens and refuses every request with 503, until its owner replaces the
 * listener for requests. A process that must run once on its host takes its address before anything
 * else.
 *
 * @example
 * const http = await reserveListener({ address: '10.0.0.4', port: 7540, patienceMs: 7_000 });
 * http.removeAllListeners('request').on('request', handle);
 */
export async function reserveListener(options: ListenOptions): Promise<Server> {
  const server = createServer((request, response) => {
    response.writeHead(503, { Connection: 'close' });
    response.end();
  });
  await listenWhenFree(server, options);
  return server;
}
