import type { Disposable } from '../../common/Disposable.js';
import type { EntryHost } from '../../common/Placement.js';
import { LinkRole } from '../../runtime/LinkAuth.js';
import type { Logger } from '../../runtime/Logger.js';
import { MessageClient } from '../../runtime/MessageClient.js';
import type { PeerMessage } from '../PeerMessages.js';

/** Options of {@link PeerLinks}. */
export interface PeerLinksOptions {
  readonly id: string;
  readonly secret: string;
  readonly logger: Logger;
  readonly onUnreachable: (peerId: string) => void;
}

/** Link with the callbacks that wait for it to open. */
interface PeerLink {
  readonly client: MessageClient;
  readonly openCallbacks: Set<(ticket: string) => void>;
  /** Timers of the callbacks that wait for the link to open. */
  readonly timers: Set<NodeJS.Timeout>;
}

/** Time that a message or call waits for a link to open; then the peer counts as unreachable. */
export const OPEN_TIMEOUT_MS = 400;

/** Links to other entry hosts, opened on first use. */
export class PeerLinks implements Disposable {
  private readonly links = new Map<string, PeerLink>();

  private disposed = false;

  constructor(private readonly options: PeerLinksOptions) {}

  /** Sends a message once the link is open; drops it if that takes too long. */
  send(peer: EntryHost, message: PeerMessage): void {
    if (this.disposed) return;
    const link = this.ensure(peer.id, peer.address, peer.peerPort);
    if (link.client.send(message)) return;
    this.whenOpen(peer.id, peer.address, peer.peerPort, (ticket) => {
      if (ticket) link.client.send(message);
    });
  }

  /** Calls back with the ticket of the open link, or an empty one if it doesn't open in time. */
  whenOpen(id: string, address: string, port: number, done: (ticket: string) => void): void {
    if (this.disposed) {
      done('');
      return;
    }
    const link = this.ensure(id, address, port);
    if (link.client.isOpen) {
      done(link.client.ticket);
      return;
    }
    let timer: NodeJS.Timeout;
    const finish = (ticket: string) => {
      clearTimeout(timer);
      link.timers.delete(timer);
      link.openCallbacks.delete(finish);
      done(ticket);
    };
    timer = setTimeout(() => {
      this.options.onUnreachable(id);
      finish('');
    }, OPEN_TIMEOUT_MS);
    link.timers.add(timer);
    link.openCallbacks.add(finish);
  }

  dispose(): void {
    this.disposed = true;
    this.links.forEach((link) => {
      link.client.dispose();
      link.timers.forEach((timer) => clearTimeout(timer));
    });
    this.links.clear();
  }

  private ensure(id: string, address: string, port: number): PeerLink {
    const key = `${id}@${address}:${port}`;
    const existing = this.links.get(key);
    if (existing) return existing;
    const openCallbacks = new Set<(ticket: string) => void>();
    const client: MessageClient = new MessageClient({
      address,
      port,
      id: this.options.id,
      role: LinkRole.Entry,
      secret: this.options.secret,
      logger: this.options.logger,
      fields: {},
      onOpen: () => [...openCallbacks].forEach((finish) => finish(client.ticket)),
      onMessage: () => {},
      onClose: () => this.options.onUnreachable(id),
    });
    const link = { client, openCallbacks, timers: new Set<NodeJS.Timeout>() };
    this.links.set(key, link);
    return link;
  }
}
