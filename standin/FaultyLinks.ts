import net, { type Server, type Socket } from 'node:net';
import { connectNarrow } from './NarrowConnection.js';

/** State of the links from one host to the backend servers. */
export enum LinkState {
  Open = 'open',
  /** Open connections and new ones hang. */
  Silent = 'silent',
  /** Open connections are reset and new ones are refused. */
  Reset = 'reset',
  /** Open connections live on and new ones are refused. */
  NewRefused = 'new-refused',
  /** Open connections are reset and new ones take only short writes. */
  Narrow = 'narrow',
}

/** Two ends of a connection through a proxy. */
interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

const ADDRESS = '127.0.0.1';

/** Port on which nothing listens. */
const CLOSED_PORT = 1;

/** Links of one host to backend servers over loopback, through proxies that can cut them. */
export class FaultyLinks {
  /** Connections opened since the start. */
  connects = 0;

  private state = LinkState.Open;

  private readonly proxies = new Map<number, Server>();

  private readonly proxyPorts = new Map<number, number>();

  private readonly pairs = new Set<Pair>();

  /** Starts a proxy for each port of a backend server. */
  async start(ports: readonly number[]): Promise<void> {
    await Promise.all(ports.map((port) => this.startProxy(port)));
  }

  async stop(): Promise<void> {
    this.pairs.forEach((pair) => FaultyLinks.reset(pair));
    await Promise.all(
      [...this.proxies.values()].map(
        (proxy) =>
          new Promise((resolve) => {
            proxy.close(resolve);
          }),
      ),
    );
  }

  /** Opens a connection to a backend server; passed to the host in place of `net.connect`. */
  readonly connect = ({ port }: { readonly host: string; readonly port: number }): Socket => {
    this.connects += 1;
    if (this.state === LinkState.Silent) {
      // A socket that never connects, as if nothing answered.
      return Object.assign(new net.Socket(), { connecting: true });
    }
    // Directly, as a proxy would turn a reset of the backend server into an orderly end.
    if (this.state === LinkState.Narrow) return connectNarrow({ host: ADDRESS, port });
    const open = this.state === LinkState.Open;
    return net.connect(open ? this.proxyPorts.get(port)! : CLOSED_PORT, ADDRESS);
  };

  set(state: LinkState): void {
    this.state = state;
    this.pairs.forEach((pair) => {
      if (state === LinkState.Reset || state === LinkState.Narrow) FaultyLinks.reset(pair);
      else if (state === LinkState.Silent) FaultyLinks.silence(pair);
      else FaultyLinks.join(pair);
    });
  }

  private static reset({ near, far }: Pair): void {
    near.resetAndDestroy();
    far.resetAndDestroy();
  }

  private static silence({ near, far }: Pair): void {
    near.unpipe(far);
    far.unpipe(near);
    near.pause();
    far.pause();
  }

  private static join({ near, far }: Pair): void {
    near.pipe(far);
    far.pipe(near);
  }

  private startProxy(port: number): Promise<void> {
    const proxy = net.createServer((near) => {
      const far = net.connect(port, ADDRESS);
      const pair = { near, far };
      this.pairs.add(pair);
      const close = () => {
        this.pairs.delete(pair);
        near.destroy();
        far.destroy();
      };
      [near, far].forEach((socket) => {
        socket.setNoDelay(true);
        socket.on('error', close);
        socket.on('close', close);
      });
      FaultyLinks.join(pair);
    });
    this.proxies.set(port, proxy);
    return new Promise((resolve) => {
      proxy.listen(0, ADDRESS, () => {
        this.proxyPorts.set(port, (proxy.address() as net.AddressInfo).port);
        resolve();
      });
    });
  }
}
