import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import type { SoakMachine } from '../Deployment.js';
import { HELD_WAYS, LinkFault, LinkPipe, Way } from './LinkPipe.js';

/** Port for links between hosts that control hosts listen on. */
const CONTROL_LINK_PORT = 7_540;

/** Interval at which a held end of a connection is tried again. */
const CLOSE_POLL_MS = 10;

/** Proxies for the links of all machines to the control hosts, one for each pair. */
export class LinkProxies {
  private readonly faults = new Map<string, LinkFault>();

  private readonly servers: Server[] = [];

  private readonly sockets = new Set<Socket>();

  private readonly addresses = new Map<string, Record<string, AddressInfo & { host: string }>>();

  async start(machines: readonly SoakMachine[], core: readonly SoakMachine[]): Promise<void> {
    const pairs = machines.flatMap((from) =>
      core.filter((to) => to !== from).map((to) => ({ from, to })),
    );
    await Promise.all(pairs.map(({ from, to }) => this.open(from, to)));
  }

  /** Addresses that the processes of a machine connect to in the place of others. */
  redirects(machine: SoakMachine): object {
    return this.addresses.get(machine.name) ?? {};
  }

  set(from: string, to: string, fault: LinkFault): void {
    this.faults.set(`${from} ${to}`, fault);
  }

  stop(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.servers.forEach((server) => server.close());
  }

  private open(from: SoakMachine, to: SoakMachine): Promise<void> {
    const fault = () => this.faults.get(`${from.name} ${to.name}`) ?? LinkFault.None;
    const server = createServer((near) => {
      const far = connect({
        host: to.address,
        port: CONTROL_LINK_PORT,
        localAddress: from.address,
      });
      const isStalled = fault() === LinkFault.StallNew;
      [near, far].forEach((socket) => {
        this.sockets.add(socket);
        socket.on('error', () => {});
        socket.setNoDelay(true);
      });
      const endWith = (socket: Socket, other: Socket) =>
        socket.once('close', () => {
          this.sockets.delete(socket);
          // The end of a connection does not pass a cut either.
          const end = () => {
            const isHeld =
              HELD_WAYS[fault()] !== undefined || (isStalled && fault() !== LinkFault.None);
            if (isHeld) setTimeout(end, CLOSE_POLL_MS);
            else other.destroy();
          };
          end();
        });
      endWith(near, far);
      endWith(far, near);
      // The pipes run while their sockets are open.
      // eslint-disable-next-line no-new
      new LinkPipe(near, far, fault, Way.Out, isStalled);
      // eslint-disable-next-line no-new
      new LinkPipe(far, near, fault, Way.Back, isStalled);
    });
    this.servers.push(server);
    return new Promise((resolve) => {
      server.listen({ host: from.address, port: 0 }, () => {
        const { port } = server.address() as AddressInfo;
        const known = this.addresses.get(from.name) ?? {};
        const key = `${to.address}:${CONTROL_LINK_PORT}`;
        this.addresses.set(from.name, {
          ...known,
          [key]: { host: from.address, port, address: from.address, family: 'IPv4' },
        });
        resolve();
      });
    });
  }
}
