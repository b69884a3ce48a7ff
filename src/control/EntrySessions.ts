import { isDeepStrictEqual } from 'node:util';
import {
  ControlMessageType,
  EntryHostUpdates,
  type ControlToEntryMessage,
  type PingMessage,
} from '../common/Messages.js';
import type { EntryHost } from '../common/Placement.js';

/** Session of one entry host at this control host. */
export interface EntrySession {
  readonly sessionId: number;
  entryHost: EntryHost;
  /** Log index of the settings that the entry host applies. */
  appliedIndex: number;
  /** True if this control host pushes settings changes to the entry host. */
  subscribed: boolean;
  /** How the entry host receives the list of entry hosts. */
  updates: EntryHostUpdates;
  lastSeenMs: number;
  pongAtMs: number;
}

/** Message for several sessions. */
export interface ListUpdate {
  readonly sessionIds: readonly number[];
  readonly message: ControlToEntryMessage;
}

/** Progress of a settings change on the entry hosts. */
export interface RolloutProgress {
  readonly entryHosts: number;
  readonly applied: number;
  readonly behind: readonly string[];
  /** True once no entry host can still admit calls under older settings. */
  readonly inForce: boolean;
}

/** Options of {@link EntrySessions}. */
export interface EntrySessionsOptions {
  /** Silence after which an entry host stays connected but is no longer listed. */
  readonly unlistAfterMs?: number;
  /** Entry hosts with sessions at other control hosts, the newest information first. */
  readonly shared?: () => readonly EntryHost[];
  /** Called with the listed entry hosts of this control host before each update of the list. */
  readonly onListed?: (entryHosts: readonly EntryHost[], nowMs: number) => void;
}

/** Shortest time between two answers to heartbeats; well below the receive timeout of links. */
const PONG_INTERVAL_MS = 390;

/** Shortest time between two updates of the list: hundreds of hosts may start at the same time. */
const LIST_INTERVAL_MS = 100;

/** Time of steady heartbeats before a host that was silent, for example frozen, is relisted. */
const RELIST_AFTER_MS = 2_000;

/** Entry hosts with a session at this control host; neither replicated nor stored. */
export class EntrySessions {
  private readonly unlistAfterMs: number;

  /** Time at which a silent host is listed again, by its id; infinite while it is silent. */
  private readonly relistAtMs = new Map<string, number>();

  /** Entry hosts in the last list sent, by id. */
  private lastListed: ReadonlyMap<string, EntryHost> = new Map();

  /** Message with the last list sent. */
  private lastMessage = EntrySessions.createMessage([]);

  private listedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: EntrySessionsOptions = {}) {
    this.unlistAfterMs = options.unlistAfterMs ?? Number.POSITIVE_INFINITY;
  }

  private readonly sessions = new Map<number, EntrySession>();

  /** Sessions without heartbeats whose links are still open. */
  private readonly expired = new Map<number, EntrySession>();

  get size(): number {
    return this.sessions.size;
  }

  /** Entry hosts in the order of their ids. */
  list(): EntrySession[] {
    return [...this.sessions.values()].sort((a, b) => (a.entryHost.id < b.entryHost.id ? -1 : 1));
  }

  /** Entry hosts with sessions at other control hosts only. */
  elsewhere(): EntryHost[] {
    const own = this.list().map((session) => session.entryHost);
    return this.withShared(own).slice(own.length);
  }

  has(sessionId: number): boolean {
    return this.sessions.has(sessionId);
  }

  /** Id of a session's entry host; empty without a session. On the hot path of claims. */
  entryHostId(sessionId: number): string {
    return this.sessions.get(sessionId)?.entryHost.id ?? '';
  }

  /** Starts a session; an older one of the same entry host is replaced. */
  open(
    sessionId: number,
    entryHost: EntryHost,
    nowMs: number,
    updates = EntryHostUpdates.Whole,
  ): void {
    [this.sessions, this.expired].forEach((sessions) =>
      sessions.forEach((session, id) => {
        if (session.entryHost.id === entryHost.id) sessions.delete(id);
      }),
    );
    this.sessions.set(sessionId, {
      sessionId,
      entryHost,
      appliedIndex: 0,
      subscribed: false,
      updates,
      lastSeenMs: nowMs,
      pongAtMs: Number.NEGATIVE_INFINITY,
    });
  }

  /** Sets how a session receives the list; returns the list that later changes build on. */
  setUpdates(sessionId: number, updates: EntryHostUpdates): ControlToEntryMessage | undefined {
    const session = this.sessions.get(sessionId);
    if (!session) return undefined;
    session.updates = updates;
    return updates === EntryHostUpdates.None ? undefined : this.lastMessage;
  }

  /** Notes a sign of life, which resumes an expired session; returns undefined without a session. */
  resume(sessionId: number, nowMs: number): EntrySession | undefined {
    const session = this.sessions.get(sessionId) ?? this.expired.get(sessionId);
    if (!session) return undefined;
    this.expired.delete(sessionId);
    this.sessions.set(sessionId, session);
    session.lastSeenMs = nowMs;
    return session;
  }

  /** Records a heartbeat, which resumes an expired session; returns undefined without a session. */
  ping(sessionId: number, message: PingMessage, nowMs: number): EntrySession | undefined {
    const session = this.resume(sessionId, nowMs);
    if (!session) return undefined;
    session.appliedIndex = message.appliedIndex;
    session.subscribed = message.subscribe;
    const { stopping, cutOff = false } = message;
    const { entryHost } = session;
    if (entryHost.stopping !== stopping || (entryHost.cutOff ?? false) !== cutOff) {
      session.entryHost = { ...entryHost, stopping, cutOff };
    }
    return session;
  }

  /**
   * True if a heartbeat is to be answered, which is then recorded. Hosts that receive the whole list
   * use the answers to check their settings; the others only need a sign of life.
   */
  isPongDue(sessionId: number, nowMs: number): boolean {
    const session = this.sessions.get(sessionId);
    if (!session || session.updates === EntryHostUpdates.Whole) return true;
    if (nowMs - session.pongAtMs < PONG_INTERVAL_MS) return false;
    session.pongAtMs = nowMs;
    return true;
  }

  /** Time of the last heartbeat on a session; undefined without a session. */
  lastSeenMs(sessionId: number): number | undefined {
    return this.sessions.get(sessionId)?.lastSeenMs;
  }

  close(sessionId: number): void {
    this.sessions.delete(sessionId);
    this.expired.delete(sessionId);
  }

  /**
   * Ends sessions that sent no heartbeat for longer than `silenceMs`. A process that was paused keeps
   * its links, so that its next heartbeat resumes its session.
   */
  expire(nowMs: number, silenceMs: number): void {
    this.sessions.forEach((session, id) => {
      if (nowMs - session.lastSeenMs <= silenceMs) return;
      this.sessions.delete(id);
      this.expired.set(id, session);
    });
  }

  /** Ids of the entry hosts that are listed, whichever control host they have a session at. */
  listedIds(nowMs: number): Set<string> {
    const own = this.listed(nowMs).map((session) => session.entryHost);
    return new Set(this.withShared(own).map(({ id }) => id));
  }

  /** Messages with the list, or its changes, if it has changed since they were last taken. */
  takeListUpdates(nowMs: number): ListUpdate[] {
    if (nowMs - this.listedAtMs < LIST_INTERVAL_MS) return [];
    this.listedAtMs = nowMs;
    const own = this.listed(nowMs).map((session) => session.entryHost);
    this.options.onListed?.(own, nowMs);
    const listed = this.withShared(own);
    // Several control hosts share records of one entry host, so equal ones are different objects.
    const changed = listed.filter((host) => {
      const last = this.lastListed.get(host.id);
      return last !== host && !isDeepStrictEqual(last, host);
    });
    const ids = new Set(listed.map(({ id }) => id));
    const removedIds = [...this.lastListed.keys()].filter((id) => !ids.has(id));
    if (changed.length === 0 && removedIds.length === 0) return [];
    this.lastListed = new Map(listed.map((host) => [host.id, host]));
    this.lastMessage = EntrySessions.createMessage(listed);
    const changes: ControlToEntryMessage = {
      type: ControlMessageType.EntryHostChanges,
      entryHosts: changed,
      removedIds,
    };
    return [
      { sessionIds: this.idsOf(EntryHostUpdates.Whole), message: this.lastMessage },
      { sessionIds: this.idsOf(EntryHostUpdates.Changes), message: changes },
    ].filter(({ sessionIds }) => sessionIds.length > 0);
  }

  listMessage(nowMs: number): ControlToEntryMessage {
    const own = this.listed(nowMs).map((session) => session.entryHost);
    return EntrySessions.createMessage(this.withShared(own));
  }

  /** Adds entry hosts that have no session here; own heartbeats are newer than what others share. */
  private withShared(own: readonly EntryHost[]): EntryHost[] {
    const merged = new Map(own.map((host) => [host.id, host]));
    this.options.shared?.().forEach((host) => {
      if (!merged.has(host.id)) merged.set(host.id, host);
    });
    return [...merged.values()];
  }

  private static createMessage(entryHosts: readonly EntryHost[]): ControlToEntryMessage {
    return { type: ControlMessageType.EntryHosts, entryHosts };
  }

  private idsOf(updates: EntryHostUpdates): number[] {
    return [...this.sessions.values()]
      .filter((session) => session.updates === updates)
      .map(({ sessionId }) => sessionId);
  }

  /** Sessions with a recent heartbeat; after a silence, only once heartbeats are steady again. */
  private listed(nowMs: number): EntrySession[] {
    return this.list().filter((session) => {
      const { id } = session.entryHost;
      if (nowMs - session.lastSeenMs > this.unlistAfterMs) {
        this.relistAtMs.set(id, Number.POSITIVE_INFINITY);
        return false;
      }
      const relistAtMs = this.relistAtMs.get(id);
      if (relistAtMs === undefined) return true;
      if (relistAtMs === Number.POSITIVE_INFINITY) {
        this.relistAtMs.set(id, nowMs + RELIST_AFTER_MS);
        return false;
      }
      if (nowMs < relistAtMs) return false;
      this.relistAtMs.delete(id);
      return true;
    });
  }

  subscribers(): EntrySession[] {
    return [...this.sessions.values()].filter((session) => session.subscribed);
  }

  /** Counts the entry hosts that apply settings of at least this log index. */
  rolloutProgress(index: number, leaseExpired: boolean): RolloutProgress {
    const sessions = this.list();
    const behind = sessions.filter((session) => session.appliedIndex < index);
    return {
      entryHosts: sessions.length,
      applied: sessions.length - behind.length,
      behind: behind.map((session) => session.entryHost.id),
      inForce: leaseExpired,
    };
  }
}
