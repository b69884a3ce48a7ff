import { PROTOCOL_VERSION } from '../common/Constants.js';
import type { RaftLog } from './raft/RaftLog.js';
import type { Member } from './raft/Types.js';

/** Options of {@link ExchangePeers}. */
export interface ExchangePeersOptions {
  readonly selfId: string;
  readonly log: RaftLog;
  /** True if this host has no disk. */
  readonly isObserver?: boolean;
}

/** Protocol version from which observers hold no announcements and serve no entry hosts. */
export const OBSERVER_PROTOCOL = 5;

/**
 * Control hosts with which this one exchanges announcements, lists of entry hosts and reports. An
 * observer takes none of these: it follows the log, and sends operators and backend servers to the hosts
 * that do. What control hosts send each other then grows with the hosts that hold announcements, and
 * costs an observer, which may be one of the smallest machines, nothing.
 *
 * @example
 * const peers = new ExchangePeers({ selfId: 'control-1', log: raft.state.log });
 * peers.members().forEach((member) => send(member.id, message));
 */
export class ExchangePeers {
  /** Protocol versions of the other control hosts. */
  private readonly protocols = new Map<string, number>();

  constructor(private readonly options: ExchangePeersOptions) {}

  /** Notes a new link to a control host. */
  onControlLink(memberId: string, protocol = PROTOCOL_VERSION): void {
    this.protocols.set(memberId, protocol);
  }

  /** Protocol version of a control host; that of this one before its first link. */
  protocolOf(memberId: string): number {
    return this.protocols.get(memberId) ?? PROTOCOL_VERSION;
  }

  /** Members to exchange with, except this host; none at an observer. */
  members(): Member[] {
    const { selfId, log, isObserver = false } = this.options;
    if (isObserver) return [];
    return log.membersExcept(selfId).filter((member) => !this.isPassive(member));
  }

  /** Ids of {@link members}. */
  ids(): string[] {
    return this.members().map(({ id }) => id);
  }

  /** True if this host exchanges with a control host. */
  includes(memberId: string): boolean {
    return this.ids().includes(memberId);
  }

  /** Observers of earlier versions take announcements, and need those of the others. */
  private isPassive({ id, observer = false }: Member): boolean {
    return observer && this.protocolOf(id) >= OBSERVER_PROTOCOL;
  }
}

/**
 * Members that a control host opens links to: only voters, which may lead, to observers, and an
 * observer only to voters.
 *
 * @example
 * linkedMembers(raft.state.log, { selfId: 'control-1' }).forEach(open);
 */
export function linkedMembers(
  log: RaftLog,
  { selfId, isObserver = false }: Pick<ExchangePeersOptions, 'selfId' | 'isObserver'>,
): Member[] {
  const others = log.membersExcept(selfId);
  if (log.isVoter(selfId)) return others;
  return others.filter(({ id, observer = false }) => log.isVoter(id) || !(isObserver || observer));
}
