import net from 'node:net';

/** Longest wait for an answer; a server may wait for more of an unfinished request. */
const ANSWER_TIMEOUT_MS = 150;

/** Connections that {@link sendAll} has open at once. */
const PARALLEL_MAX = 24;

/** Options of {@link sendBytes}. */
export interface SendBytesOptions {
  readonly host?: string;
  /** Longest wait for the answer. */
  readonly timeoutMs?: number;
}

/** Sends bytes on a new connection; resolves with what was received first, which may be nothing. */
export function sendBytes(
  port: number,
  bytes: string,
  { host = '127.0.0.1', timeoutMs = ANSWER_TIMEOUT_MS }: SendBytesOptions = {},
): Promise<string> {
  return new Promise((resolve) => {
    const socket = net.connect({ port, host });
    let received = '';
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      socket.destroy();
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(received);
    });
    socket.write(Buffer.from(bytes, 'latin1'));
  });
}

/** Sends each input on a connection of its own, some at a time. */
export async function sendAll(port: number, inputs: readonly { bytes: string }[]): Promise<void> {
  const queue = [...inputs];
  const sendNext = async (): Promise<void> => {
    const input = queue.shift();
    if (!input) return;
    await sendBytes(port, input.bytes);
    await sendNext();
  };
  await Promise.all(Array.from({ length: PARALLEL_MAX }, sendNext));
}
