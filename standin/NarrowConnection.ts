import net, { Socket } from 'node:net';
import type { Connect } from '../src/runtime/GuardedAgent.js';

/** Passes the head of a request, and not a body that is handed over in one write. */
const WRITE_BYTES_MAX = 4 * 1024;

// eslint-disable-next-line no-underscore-dangle
const WRITE = Socket.prototype._write;

type WriteArgs = Parameters<typeof WRITE>;

/**
 * Opens a connection that takes only short writes, like the link of a host with a small window. A longer
 * write waits in the process until the other end has ended its side. It is tried then, as a pending
 * write is by Node.js: behind the end of what was read.
 *
 * @example
 * Object.assign(agent, { createConnection: connectNarrow });
 */
export const connectNarrow: Connect = (target) => {
  const socket = net.connect(target);
  const write = (args: WriteArgs) => Reflect.apply(WRITE, socket, args);
  return Object.assign(socket, {
    // The stream then passes on its writes one by one.
    _writev: null,
    _write: (...args: WriteArgs) => {
      if (args[0].length <= WRITE_BYTES_MAX) write(args);
      else socket.once('end', () => setImmediate(() => write(args)));
    },
  });
};
