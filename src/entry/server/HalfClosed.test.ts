import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { v7 as uuidV7 } from 'uuid';
import { Cluster, waitUntil } from '../../../standin/Cluster.js';
import { buildTree, OTARU } from '../../../standin/Deployments.js';
import { RawClient } from '../../../standin/RawClient.js';

const WORK_MS = 250;

describe('a client of an entry host that closes its sending side behind its request', () => {
  let cluster: Cluster;
  let client: RawClient;

  beforeEach(async () => {
    cluster = await Cluster.start({
      deployments: [OTARU],
      tree: buildTree([OTARU], { leaseMs: 3_000, announcementIntervalMs: 200 }),
      controlHosts: 1,
      entryHosts: 2,
      backendsPerService: 3,
      serviceTime: { meanMs: WORK_MS, tailRatio: 1, tailMs: WORK_MS },
    });
    await cluster.waitReady();
    client = new RawClient(cluster.entries[0]!.port, { allowHalfOpen: true });
  });

  afterEach(async () => {
    client.close();
    await cluster.stop();
  });

  // Guards against a call that is passed on and whose connection is closed without an answer.
  it.each([
    ['GET', 200, ['GET /ledger/a HTTP/1.1', 'Host: entry', '', '']],
    [
      'POST',
      201,
      [
        'POST /dispatch/orders HTTP/1.1',
        'Host: entry',
        `Idempotency-Key: ${uuidV7()}`,
        'Content-Length: 2',
        '',
        '{}',
      ],
    ],
  ])('gets the answer to a %s', async (method, status, lines) => {
    client.socket.end(lines.join('\r\n'));
    await waitUntil(() => client.ended || client.broken, 'the end of the connection');
    expect(client.statusCodes).toEqual([status]);
  });
});
