import type { Disposable } from '../../common/Disposable.js';
import { LinkRole } from '../../runtime/LinkAuth.js';
import type { Logger } from '../../runtime/Logger.js';
import { MessageClient } from '../../runtime/MessageClient.js';
import type { LinkTiming, LostLink } from '../../runtime/MessageClient.js';
import type { Member } from '../raft/Types.js';

/** Options of {@link RaftLinks}. */
export interface RaftLinksOptions {
  readonly id: string;
  readonly secret: string;
  readonly logger: Logger;
  readonly timing?: LinkTiming;
  /** Own availability zone. */
  readonly availabilityZone?: string;
  /** Receives the bytes sent by message type. */
  readonly onBytes?: (messageType: string, bytes: number, memberZone: string | undefined) => void;
  readonly onOpen?: (memberId: string, protocol: number) => void;
  readonly onClose?: (memberId: string, lost: LostLink) => void;
}

/** Outgoing links to the other control hosts; replies arrive over the links of those hosts. */
export class RaftLinks implements Disposable {
  private readonly clients = new Map<string, MessageClient>();

  /** Address and port that each link was opened to, by member id. */
  private readonly addresses = new Map<string, string>();

  private disposed = false;

  constructor(private readonly options: RaftLinksOptions) {}

  /** Opens links to new or moved members and closes those to removed ones. */
  sync(members: readonly Member[]): void {
    if (this.disposed) return;
    const membersById = new Map(members.map((member) => [member.id, member]));
    this.clients.forEach((client, id) => {
      const member = membersById.get(id);
      if (member && this.addresses.get(id) === `${member.address}:${member.port}`) return;
      client.dispose();
      this.clients.delete(id);
    });
    membersById.forEach((member, id) => {
      if (!this.clients.has(id)) this.open(member);
    });
  }

  send(to: string, message: object): void {
    this.clients.get(to)?.send(message);
  }

  /** True if the link to a member is open. */
  isOpen(memberId: string): boolean {
    return this.clients.get(memberId)?.isOpen ?? false;
  }

  /** Messages to current members that were larger than a link accepts. */
  get oversizedMessages(): number {
    return [...this.clients.values()].reduce((sum, link) => sum + link.oversizedMessages, 0);
  }

  /** True if the member's version knows the messages of a protocol version. */
  supports(to: string, protocol: number): boolean {
    return this.protocolOf(to) >= protocol;
  }

  private protocolOf(memberId: string): number {
    return this.clients.get(memberId)?.serverProtocol ?? 1;
  }

  dispose(): void {
    this.disposed = true;
    this.clients.forEach((client) => client.dispose());
  }

  private open(member: Member): void {
    const { id, secret, logger } = this.options;
    this.addresses.set(member.id, `${member.address}:${member.port}`);
    this.clients.set(
      member.id,
      new MessageClient({
        address: member.address,
        port: member.port,
        id,
        role: LinkRole.Control,
        secret,
        logger,
        fields: {},
        timing: this.options.timing,
        availabilityZone: this.options.availabilityZone,
        onBytes: this.options.onBytes,
        onOpen: () => this.options.onOpen?.(member.id, this.protocolOf(member.id)),
        onMessage: () => {},
        onClose: (lost) => this.options.onClose?.(member.id, lost),
      }),
    );
  }
}
