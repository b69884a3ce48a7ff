import net, { type Socket } from 'node:net';
import { RawClient } from './RawClient.js';

/** Request that asks for another protocol on its connection, or for a tunnel. */
export interface UpgradeRequest {
  readonly name: string;
  readonly bytes: string;
}

/** How a client leaves. */
export enum Leaving {
  /** Closes its sending side and reads on. */
  End = 'end',
  Close = 'close',
  Reset = 'reset',
}

/** When a client leaves. */
export enum LeavingStep {
  /** After a part of the head. */
  InHead = 'in the head',
  AfterRequest = 'after the request',
  AfterAnswer = 'after the answer',
}

/** Longest wait for an answer; an ordinary one takes milliseconds. */
const ANSWER_WAIT_MS = 3_000;

/** Time for which a client that ended its side waits for the end of the other one. */
const END_WAIT_MS = 300;

const PAUSE_MS = 20;

/** Lets the server read what was sent. */
function pause(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, PAUSE_MS);
  });
}

const HANDLERS: Readonly<Record<Leaving, (socket: Socket) => void>> = {
  [Leaving.End]: (socket) => socket.end(),
  [Leaving.Close]: (socket) => socket.destroy(),
  [Leaving.Reset]: (socket) => socket.resetAndDestroy(),
};

const WEBSOCKET =
  'Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==';

/** Lines that ask for another protocol; RFC 9110, section 7.8, allows a server to ignore them. */
export const UPGRADES: Readonly<Record<string, string>> = {
  h2c: 'Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA',
  websocket: WEBSOCKET,
  'TLS/1.2': 'Upgrade: TLS/1.2',
  'an unknown protocol': 'Upgrade: x/1',
};

/**
 * Requests for each protocol with the given lines, one of them with a body.
 *
 * @example
 * upgradeRequests('/read/x', 'Host: a.example')[0].bytes; // 'GET /read/x HTTP/1.1\r\n...'
 */
export function upgradeRequests(path: string, lines: string): UpgradeRequest[] {
  const create = (name: string, upgrade: string, method = 'GET', body = '') => {
    const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
    const head = `${method} ${path} HTTP/1.1\r\n${lines}\r\nConnection: Upgrade\r\n${upgrade}\r\n${length}`;
    return { name, bytes: `${head}\r\n${body}` };
  };
  return [
    ...Object.entries(UPGRADES).map(([name, upgrade]) => create(name, upgrade)),
    create('an unknown protocol, with a body', UPGRADES['an unknown protocol']!, 'GET', 'abc'),
  ];
}

/** Request for a tunnel. */
export const TUNNEL: UpgradeRequest = {
  name: 'CONNECT',
  bytes: 'CONNECT a.example:80 HTTP/1.1\r\nHost: a.example:80\r\n\r\n',
};

/** Sends bytes and leaves at a step; resolves once the connection is closed at this end. */
export async function sendAndLeave(
  port: number,
  bytes: string,
  { leaving, step }: { readonly leaving: Leaving; readonly step: LeavingStep },
): Promise<void> {
  const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  socket.on('error', () => {});
  const isPart = step === LeavingStep.InHead;
  const sent = Buffer.from(isPart ? bytes.slice(0, -2) : bytes, 'latin1');
  await new Promise((resolve) => {
    socket.write(sent, resolve);
  });
  if (step === LeavingStep.AfterAnswer) {
    await new Promise((resolve) => {
      socket.once('data', resolve);
      socket.once('end', resolve);
      setTimeout(resolve, END_WAIT_MS);
    });
  } else await pause();
  socket.resume();
  HANDLERS[leaving](socket);
  const timer = setTimeout(() => socket.destroy(), END_WAIT_MS);
  await closed;
  clearTimeout(timer);
}

/** Status codes of the answers on one connection, and whether the server has ended it. */
export async function exchange(port: number, bytes: string, answers: number) {
  const client = new RawClient(port);
  client.socket.write(Buffer.from(bytes, 'latin1'));
  const untilMs = performance.now() + ANSWER_WAIT_MS;
  while (client.statusCodes.length < answers && !client.ended && performance.now() < untilMs) {
    // The loop polls what the client has received.
    // eslint-disable-next-line no-await-in-loop
    await pause();
  }
  await pause();
  const { statusCodes, ended } = client;
  client.close();
  return { statusCodes, ended };
}

/** Every way and step of leaving a connection, for each request. */
export function leavingCases(requests: readonly UpgradeRequest[]) {
  return requests.flatMap(({ bytes }) =>
    Object.values(LeavingStep).flatMap((step) =>
      Object.values(Leaving).map((leaving) => ({ bytes, how: { step, leaving } })),
    ),
  );
}
