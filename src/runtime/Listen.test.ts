import { once } from 'node:events';
import { createServer as createHttpServer, type Server } from 'node:http';
import { createServer, type AddressInfo, type Server as NetServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { closeServer } from './HttpJson.js';
import { listenWhenFree, reserveListener } from './Listen.js';

const ADDRESS = '127.0.0.1';

describe('listenWhenFree', () => {
  let holder: NetServer | undefined;
  let server: Server | undefined;

  /** Occupies a port, which `holder` gives up when it closes. */
  async function occupyPort(): Promise<number> {
    holder = createServer().listen(0, ADDRESS);
    await once(holder, 'listening');
    return (holder.address() as AddressInfo).port;
  }

  afterEach(async () => {
    holder?.close();
    if (server) await closeServer(server);
  });

  // Guards against a process that ends because the one before it has not stopped completely.
  it('waits for an address that is in use', async () => {
    const port = await occupyPort();
    const inUse: number[] = [];
    server = createHttpServer();
    const listening = listenWhenFree(server, {
      address: ADDRESS,
      port,
      patienceMs: 10_000,
      onInUse: (address, usedPort) => {
        inUse.push(usedPort);
        holder?.close();
      },
    });
    expect(await listening).toBe(port);
    expect(inUse).toEqual([port]);
  });

  it('fails with the error of the last attempt once its patience ends', async () => {
    const port = await occupyPort();
    const listening = listenWhenFree(createHttpServer(), {
      address: ADDRESS,
      port,
      patienceMs: 60,
    });
    await expect(listening).rejects.toMatchObject({ code: 'EADDRINUSE' });
  });

  it('fails at once for another reason', async () => {
    const address = '192.0.2.1';
    const listening = listenWhenFree(createHttpServer(), { address, port: 0, patienceMs: 60_000 });
    await expect(listening).rejects.toMatchObject({ code: 'EADDRNOTAVAIL' });
  });

  it('refuses requests on a reserved address until its owner handles them', async () => {
    server = await reserveListener({ address: ADDRESS, port: 0, patienceMs: 0 });
    const url = `http://${ADDRESS}:${(server.address() as AddressInfo).port}/`;
    expect((await fetch(url)).status).toBe(503);
    server.removeAllListeners('request').on('request', (request, response) => response.end());
    expect((await fetch(url)).status).toBe(200);
  });
});
