import {
  ControlMessageType,
  type ControlPeerMessage,
  type EntryHostsShareMessage,
} from '../common/Messages.js';
import type { EntryHost } from '../common/Placement.js';

/** Dependencies of {@link SharedEntryHosts}. */
export interface SharedEntryHostsOptions {
  readonly selfId: string;
  /** Ids of the other control hosts. */
  readonly peerIds: () => readonly string[];
  readonly send: (to: string, message: ControlPeerMessage) => void;
}

/** List of another control host. */
interface PeerList {
  readonly hosts: Map<string, EntryHost>;
  version: number;
  heardAtMs: number;
}

/** Time after which a control host sends a message although its list is unchanged. */
const SHARE_INTERVAL_MS = 1_000;

/** Silence after which the list of a control host is dropped; its entry hosts link to others. */
const PEER_SILENCE_MS = 3_000;

/** Shortest time between two requests for the whole list of one control host. */
const REQUEST_INTERVAL_MS = 300;

/**
 * Lists of entry hosts that control hosts share with each other: an entry host has sessions at a few
 * of them only. Each sends the changes of its own list, and its version once a second, by which a
 * receiver finds that it missed a change and requests the whole list.
 */
export class SharedEntryHosts {
  private readonly lists = new Map<string, PeerList>();

  private readonly requestedAtMs = new Map<string, number>();

  /** Own entry hosts as they were shared last, by id. */
  private shared: ReadonlyMap<string, EntryHost> = new Map();

  private sharedAtMs = Number.NEGATIVE_INFINITY;

  /** Version of the own list. */
  private version = 0;

  constructor(private readonly options: SharedEntryHostsOptions) {}

  /** Entry hosts on the lists of other control hosts, those received last first. */
  hosts(): EntryHost[] {
    return [...this.lists.values()]
      .sort((a, b) => b.heardAtMs - a.heardAtMs)
      .flatMap(({ hosts }) => [...hosts.values()]);
  }

  /** Sends the changes of the own list to the other control hosts. */
  share(own: readonly EntryHost[], nowMs: number): void {
    this.dropSilent(nowMs);
    const changed = own.filter((host) => this.shared.get(host.id) !== host);
    const ids = new Set(own.map(({ id }) => id));
    const removedIds = [...this.shared.keys()].filter((id) => !ids.has(id));
    const isUnchanged = changed.length === 0 && removedIds.length === 0;
    if (isUnchanged && nowMs - this.sharedAtMs < SHARE_INTERVAL_MS) return;
    this.sharedAtMs = nowMs;
    this.shared = new Map(own.map((host) => [host.id, host]));
    const baseVersion = this.version;
    if (!isUnchanged) this.version += 1;
    const message = this.createMessage({ entryHosts: changed, removedIds, baseVersion });
    this.options.peerIds().forEach((id) => this.options.send(id, message));
  }

  /** Sends the whole own list to a control host, for example once a link to it has opened. */
  sendWhole(to: string): void {
    const entryHosts = [...this.shared.values()];
    const fields = { entryHosts, isWhole: true, reportsDelivery: true };
    this.options.send(to, this.createMessage(fields));
  }

  /** Applies the message of another control host. */
  receive(message: EntryHostsShareMessage, nowMs: number): void {
    const { from, entryHosts, removedIds, isWhole, version, baseVersion, requestsWhole } = message;
    if (requestsWhole) {
      this.sendWhole(from);
      return;
    }
    if (isWhole) {
      const hosts = new Map(entryHosts.map((host) => [host.id, host]));
      this.lists.set(from, { hosts, version, heardAtMs: nowMs });
      return;
    }
    const list = this.lists.get(from);
    if (!list || list.version !== baseVersion) {
      this.requestWhole(from, nowMs);
      return;
    }
    list.heardAtMs = nowMs;
    list.version = version;
    removedIds.forEach((id) => list.hosts.delete(id));
    entryHosts.forEach((host) => list.hosts.set(host.id, host));
  }

  private requestWhole(from: string, nowMs: number): void {
    const lastMs = this.requestedAtMs.get(from) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastMs < REQUEST_INTERVAL_MS) return;
    this.requestedAtMs.set(from, nowMs);
    this.options.send(from, this.createMessage({ requestsWhole: true }));
  }

  private dropSilent(nowMs: number): void {
    this.lists.forEach(({ heardAtMs }, id) => {
      if (nowMs - heardAtMs > PEER_SILENCE_MS) this.lists.delete(id);
    });
  }

  private createMessage(fields: Partial<EntryHostsShareMessage>): EntryHostsShareMessage {
    return {
      type: ControlMessageType.EntryHostsShare,
      from: this.options.selfId,
      entryHosts: [],
      removedIds: [],
      isWhole: false,
      version: this.version,
      baseVersion: this.version,
      requestsWhole: false,
      ...fields,
    };
  }
}
