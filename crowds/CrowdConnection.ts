import net from 'node:net';
import type { CrowdClient } from './Types.js';

/** Connection of a client. */
export class CrowdConnection {
  isDone = false;

  /** Start of what the process has answered. */
  received = '';

  private readonly socket: net.Socket;

  constructor(
    address: string,
    private readonly client: CrowdClient,
    private readonly noteSent: () => void,
  ) {
    const [host, port] = address.split(':');
    this.socket = net.connect({ host: host!, port: Number(port) });
    if (client.reads === false) this.socket.pause();
    else {
      this.socket.on('data', (bytes) => {
        if (this.received.length < 1_000) this.received += bytes.toString('latin1');
      });
    }
    this.socket.on('error', () => {});
    this.socket.on('close', () => {
      this.isDone = true;
    });
  }

  async send(): Promise<void> {
    // Pieces are written one after the other.
    for (const piece of this.client.pieces) {
      if (this.socket.destroyed) return;
      // eslint-disable-next-line no-await-in-loop
      await this.write(piece);
      this.noteSent();
    }
    this.isDone = true;
  }

  close(): void {
    this.socket.destroy();
  }

  private write(piece: Buffer): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        this.socket.off('close', finish);
        resolve();
      };
      this.socket.once('close', finish);
      this.socket.write(piece, finish);
    });
  }
}
