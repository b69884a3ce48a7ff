import type { Disposable } from '../../common/Disposable.js';
import type {
  ControlToEntryMessage,
  EntryToControlMessage,
  VoterAddress,
} from '../../common/Messages.js';
import { LinkRole } from '../../runtime/LinkAuth.js';
import type { Logger } from '../../runtime/Logger.js';
import type { MessageFields } from '../../runtime/MessageCheck.js';
import { MessageClient, type LinkTraffic } from '../../runtime/MessageClient.js';

/** Options of {@link ControlLinks}. */
export interface ControlLinksOptions {
  readonly id: string;
  readonly secret: string;
  readonly logger: Logger;
  readonly fields: MessageFields;
  readonly onOpen: (controlHostId: string) => void;
  readonly onMessage: (controlHostId: string, message: ControlToEntryMessage) => void;
  readonly onClose: (controlHostId: string) => void;
}

/** Links to all control hosts. */
export class ControlLinks implements Disposable {
  private readonly clients = new Map<string, MessageClient>();

  private disposed = false;

  constructor(private readonly options: ControlLinksOptions) {}

  /** Opens links to new control hosts, and closes those to hosts no longer in the list. */
  sync(controlHosts: readonly VoterAddress[]): void {
    if (this.disposed) return;
    const wantedIds = new Set(controlHosts.map((host) => host.id));
    controlHosts.forEach((host) => {
      if (!this.clients.has(host.id)) this.open(host);
    });
    this.clients.forEach((client, id) => {
      if (wantedIds.has(id)) return;
      client.dispose();
      this.clients.delete(id);
      this.options.onClose(id);
    });
  }

  send(controlHostId: string, message: EntryToControlMessage): void {
    this.clients.get(controlHostId)?.send(message);
  }

  /** Traffic of the open links in both directions. */
  traffic(): LinkTraffic {
    const total = { bytes: 0, messages: 0 };
    this.clients.forEach((client) => {
      total.bytes += client.traffic.bytes;
      total.messages += client.traffic.messages;
    });
    return total;
  }

  dispose(): void {
    this.disposed = true;
    this.clients.forEach((client) => client.dispose());
    this.clients.clear();
  }

  private open(host: VoterAddress): void {
    const { id, secret, logger, fields } = this.options;
    this.clients.set(
      host.id,
      new MessageClient({
        address: host.address,
        port: host.port,
        id,
        role: LinkRole.Entry,
        secret,
        logger,
        fields,
        onOpen: () => this.options.onOpen(host.id),
        onMessage: (message) => this.options.onMessage(host.id, message as ControlToEntryMessage),
        onClose: () => this.options.onClose(host.id),
      }),
    );
  }
}
