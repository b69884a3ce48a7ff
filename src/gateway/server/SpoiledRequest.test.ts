import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { RawClient } from '../../../standin/RawClient.js';
import { soundReply, startTestGateway, type TestGateway } from './fixtures.js';

/** Heads that some versions of Node's parser pass and that its client refuses to send. */
const SPOILED: readonly { readonly target: string; readonly header: string }[] = [
  { target: '/read/x', header: 'X-Space : a' },
  { target: '/read/x', header: 'A B: c' },
  { target: '/read/x', header: 'Transfer-Encoding : chunked' },
  { target: '/read/a\tb', header: 'X-Sound: a' },
  { target: '/read/a\fb', header: 'X-Sound: a' },
];

describe('a request whose head can not be passed on', () => {
  let backend: RawBackend;
  let gateway: TestGateway;
  let client: RawClient;

  beforeEach(async () => {
    backend = new RawBackend(soundReply);
    await backend.start();
    gateway = await startTestGateway({ alpha: { 'b-1': backend } });
    client = new RawClient(gateway.port);
  });

  afterEach(async () => {
    client.close();
    await gateway.stop();
  });

  // Guards against an exception in the middle of an attempt, and against a request that is smuggled
  // in the body of one whose framing this host and the backend server read differently.
  it.each(SPOILED)(
    'is refused with 400, and ends its connection: $target $header',
    async (head) => {
      const { target, header } = head;
      const ids = ['Host: a.example', 'Call-Id: spoiled', 'Content-Length: 0'];
      const smuggled =
        'GET /read/smuggled HTTP/1.1\r\nHost: a.example\r\nCall-Id: smuggled\r\n\r\n';
      const lines = [`GET ${target} HTTP/1.1`, ...ids, header, '', smuggled];
      client.socket.write(Buffer.from(lines.join('\r\n'), 'latin1'));
      await waitUntil(() => client.ended, 'the end of the connection');
      expect(client.statusCodes).toEqual([400]);
      expect(gateway.logged.filter(({ event }) => event === 'call_crashed')).toEqual([]);
      expect(backend.requests.filter(({ path }) => path.startsWith('/read'))).toEqual([]);
    },
  );
});
