import { CommandType } from '../Commands.js';
import { encodedBytes } from '../EncodedSize.js';
import type { LogEntry, Member, Membership, Snapshot } from './Types.js';

/** In-memory view of the log after the latest snapshot. */
export class RaftLog {
  /** Latest snapshot; index 0 means none was taken. */
  snapshot: Snapshot;

  /** Entries after the snapshot, in order. */
  private entries: LogEntry[];

  /** Encoded size of all entries up to and including each one, counted from `baseBytes`. */
  private endBytes: number[];

  /** Encoded size of the entries that were compacted since the log was created. */
  private baseBytes = 0;

  /** Membership in force: that of the last membership entry, committed or not. */
  membership: Membership;

  /** Index of the entry that set the membership. */
  membershipIndex: number;

  /** Membership before the one in force; the same one if no entry after the snapshot changed it. */
  earlierMembership: Membership;

  constructor(snapshot: Snapshot, entries: readonly LogEntry[]) {
    this.snapshot = snapshot;
    this.entries = [];
    this.endBytes = [];
    entries.forEach((entry) => this.push(entry));
    this.membership = snapshot.membership;
    this.membershipIndex = snapshot.index;
    this.earlierMembership = snapshot.membership;
    this.refreshMembership();
  }

  get lastIndex(): number {
    return this.snapshot.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.snapshot.term;
  }

  /** Number of entries held in memory. */
  get length(): number {
    return this.entries.length;
  }

  /** Term of the entry at an index; undefined if it was compacted or is not yet written. */
  termAt(index: number): number | undefined {
    if (index === this.snapshot.index) return this.snapshot.term;
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.snapshot.index - 1];
  }

  /**
   * Returns at most `maxEntries` entries of at most `maxBytes` encoded bytes, starting at an index;
   * always the first one, whatever its size.
   */
  slice(fromIndex: number, maxEntries: number, maxBytes = Number.POSITIVE_INFINITY): LogEntry[] {
    const start = fromIndex - this.snapshot.index - 1;
    const limitBytes = this.bytesUpTo(fromIndex - 1) + maxBytes;
    const last = Math.min(start + maxEntries, this.entries.length);
    let end = Math.min(start + 1, last);
    while (end < last && this.endBytes[end]! <= limitBytes) end += 1;
    return this.entries.slice(start, end);
  }

  /** Encoded size in bytes of the entries after one index, up to and including another one. */
  bytesBetween(afterIndex: number, lastIndex: number): number {
    return Math.max(0, this.bytesUpTo(lastIndex) - this.bytesUpTo(afterIndex));
  }

  append(entry: LogEntry): void {
    this.push(entry);
    if (entry.command.type === CommandType.Membership) {
      this.earlierMembership = this.membership;
      this.membership = entry.command.membership;
      this.membershipIndex = entry.index;
    }
  }

  /** Removes the entry at an index and all later ones. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.snapshot.index - 1);
    this.endBytes.length = this.entries.length;
    this.refreshMembership();
  }

  /** Removes entries that a snapshot covers; all of them if the log conflicts with it. */
  compactTo(snapshot: Snapshot): void {
    const matches = this.termAt(snapshot.index) === snapshot.term;
    const covered = snapshot.index - this.snapshot.index;
    this.baseBytes = this.bytesUpTo(matches ? snapshot.index : this.lastIndex);
    this.entries = matches ? this.entries.slice(covered) : [];
    this.endBytes = matches ? this.endBytes.slice(covered) : [];
    this.snapshot = snapshot;
    this.refreshMembership();
  }

  /** Adopts the membership that another host reported, while this log is empty. */
  adoptMembership(membership: Membership): void {
    if (this.lastIndex > 0) return;
    this.snapshot = { ...this.snapshot, membership };
    this.refreshMembership();
  }

  isVoter(id: string): boolean {
    return this.membership.voters.some((member) => member.id === id);
  }

  /** Number of votes that a majority needs. */
  get quorum(): number {
    return Math.floor(this.membership.voters.length / 2) + 1;
  }

  /** Voters and learners except the given member. */
  membersExcept(id: string): Member[] {
    return [...this.membership.voters, ...this.membership.learners].filter(
      (member) => member.id !== id,
    );
  }

  /** False if the membership records another instance under the id. */
  matchesInstance(id: string, instanceId: string): boolean {
    const member = [...this.membership.voters, ...this.membership.learners].find(
      (candidate) => candidate.id === id,
    );
    return member?.instanceId === undefined || member.instanceId === instanceId;
  }

  private push(entry: LogEntry): void {
    this.endBytes.push(this.bytesUpTo(this.lastIndex) + encodedBytes(entry));
    this.entries.push(entry);
  }

  /** Encoded size of all entries up to and including an index, compacted ones included. */
  private bytesUpTo(index: number): number {
    const position = Math.min(index - this.snapshot.index, this.endBytes.length) - 1;
    return position < 0 ? this.baseBytes : this.endBytes[position]!;
  }

  private refreshMembership(): void {
    this.membership = this.snapshot.membership;
    this.membershipIndex = this.snapshot.index;
    this.earlierMembership = this.snapshot.membership;
    this.entries.forEach(({ index, command }) => {
      if (command.type !== CommandType.Membership) return;
      this.earlierMembership = this.membership;
      this.membership = command.membership;
      this.membershipIndex = index;
    });
  }
}
