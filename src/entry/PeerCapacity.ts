import type { EntryHost } from '../common/Placement.js';
import { pickIndex, type RandomSource } from '../common/Random.js';
import type { PoolStatus } from './Types.js';

/** Last reported capacity of one leaseholder for one service. */
interface ReportedStatus {
  status: PoolStatus;
  atMs: number;
  /** Forwards sent since the status was reported. */
  forwardsSince: number;
}

/** Age above which a status report is not used for free slots. */
const STATUS_VALID_MS = 250;

/** Capacity of the other leaseholders, as last reported to this entry host. */
export class PeerCapacity {
  private readonly statuses = new Map<string, ReportedStatus>();

  /** Applies a status report of a peer. */
  onStatus(peerId: string, service: string, status: PoolStatus, nowMs: number): void {
    const entry = this.entryOf(peerId, service);
    entry.status = status;
    entry.atMs = nowMs;
    entry.forwardsSince = 0;
  }

  onForward(peerId: string, service: string): void {
    const entry = this.entryOf(peerId, service);
    entry.forwardsSince += 1;
  }

  /** False if the peer recently reported that it has no usable backend server. */
  mayServe(peerId: string, service: string, nowMs: number): boolean {
    const entry = this.statuses.get(`${service}/${peerId}`);
    return !entry || nowMs - entry.atMs > STATUS_VALID_MS || entry.status.slots > 0;
  }

  /** True if the peer recently reported more free slots than this host has used since. */
  hasFreeSlots(peerId: string, service: string, nowMs: number): boolean {
    const entry = this.statuses.get(`${service}/${peerId}`);
    if (!entry || nowMs - entry.atMs > STATUS_VALID_MS) return false;
    return entry.status.freeSlots - entry.forwardsSince > 0;
  }

  /** Picks the peer with the most spare capacity; ties at random. */
  pick(peers: readonly EntryHost[], service: string, random: RandomSource): EntryHost | undefined {
    let best: EntryHost | undefined;
    let bestSpare = Number.NEGATIVE_INFINITY;
    let ties = 0;
    peers.forEach((peer) => {
      const spare = this.spareOf(peer.id, service);
      if (spare > bestSpare) {
        best = peer;
        bestSpare = spare;
        ties = 1;
      } else if (spare === bestSpare) {
        ties += 1;
        if (pickIndex(random, ties) === 0) best = peer;
      }
    });
    return best;
  }

  /** Estimated free share of the peer's slots, less the calls queued there. */
  private spareOf(peerId: string, service: string): number {
    const entry = this.statuses.get(`${service}/${peerId}`);
    if (!entry || entry.status.slots === 0) return 0;
    const { status } = entry;
    return (status.freeSlots - status.queued - entry.forwardsSince) / status.slots;
  }

  private entryOf(peerId: string, service: string): ReportedStatus {
    const key = `${service}/${peerId}`;
    let entry = this.statuses.get(key);
    if (!entry) {
      const status = { freeSlots: 0, slots: 0, queued: 0 };
      entry = { status, atMs: Number.NEGATIVE_INFINITY, forwardsSince: 0 };
      this.statuses.set(key, entry);
    }
    return entry;
  }
}
