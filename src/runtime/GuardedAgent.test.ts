import http from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';
import { RawBackend } from '../../standin/RawBackend.js';
import { GuardedAgent } from './GuardedAgent.js';

const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole';

let backend: RawBackend;
let agent: GuardedAgent;

async function start(): Promise<void> {
  backend = new RawBackend((socket) => socket.write(ANSWER));
  await backend.start();
  agent = new GuardedAgent({ keepAlive: true });
}

/** Sends a request and resolves with the body of its answer once the connection is idle. */
function send(): Promise<string> {
  return new Promise((resolve, reject) => {
    const request = http.get({ host: '127.0.0.1', port: backend.port, agent });
    request.on('error', reject);
    request.on('response', (response) => {
      let body = '';
      response.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      response.on('end', () => setImmediate(() => resolve(body)));
    });
  });
}

function freeSockets(): Socket[] {
  return Object.values(agent.freeSockets).flatMap((sockets) => sockets ?? []);
}

afterEach(async () => {
  agent.destroy();
  await backend.stop();
});

describe('pooled connections', () => {
  // Guards against a guard that closes connections in order, or stays on one in use.
  it('are used again while the server sends only answers', async () => {
    await start();
    expect([await send(), await send(), await send()]).toEqual(['whole', 'whole', 'whole']);
    expect(backend.connections).toHaveLength(1);
  });

  // Guards against bytes of an earlier answer that are read as the answer to a later request.
  it('are closed when bytes arrive while they are idle', async () => {
    await start();
    await send();
    expect(freeSockets()).toHaveLength(1);
    backend.connections[0]!.socket.write('x');
    await waitUntil(() => backend.connections[0]!.closed, 'the connection to close', 1_000);
    expect(freeSockets()).toHaveLength(0);
    expect(await send()).toBe('whole');
  });
});
