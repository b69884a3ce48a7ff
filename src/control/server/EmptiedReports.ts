import type { Member, Membership } from '../raft/Types.js';

/** Suffix of the identity of a data folder that was created after the first start of the system. */
export const EMPTIED_SUFFIX = '.emptied';

/** True if the host with this identity has had another disk before, or none at the first start. */
export function mayReportEmptied(identity: string): boolean {
  return identity.endsWith(EMPTIED_SUFFIX);
}

/**
 * Member ids that a host had before its disk was lost: those of voters at its own address under
 * another id, in any membership that it has seen.
 *
 * @example
 * const ids = new EmptiedIds(() => ({ id: 'c-2', address: '10.0.0.3', port: 7540 }));
 * ids.learn(membership);
 * ids.list(); // ['c']
 */
export class EmptiedIds {
  private readonly ids = new Set<string>();

  constructor(private readonly self: () => Member) {}

  /** Adds the earlier ids that a membership shows. */
  learn({ voters }: Membership): void {
    const { id, address, port } = this.self();
    voters
      .filter((voter) => voter.address === address && voter.port === port && voter.id !== id)
      .forEach((voter) => this.ids.add(voter.id));
  }

  list(): readonly string[] {
    return [...this.ids];
  }
}
