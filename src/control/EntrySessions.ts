import {
  ControlMessageType,
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
  lastSeenMs: number;
}

/** Message for one session. */
export interface SessionSend {
  readonly sessionId: number;
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
}

/** Time of steady heartbeats before a host that was silent, for example frozen, is relisted. */
const RELIST_AFTER_MS = 2_000;

/** Entry hosts with a session at this control host; neither replicated nor stored. */
export class EntrySessions {
  private readonly unlistAfterMs: number;

  /** Time at which a silent host is listed again, by its id; infinite while it is silent. */
  private readonly relistAtMs = new Map<string, number>();

  /** Ids of the entry hosts in the last list sent, joined by commas. */
  private listedIds = '';

  constructor(options: EntrySessionsOptions = {}) {
    this.unlistAfterMs = options.unlistAfterMs ?? Number.POSITIVE_INFINITY;
  }

  private readonly sessions = new Map<number, EntrySession>();

  /** True if the list of entry hosts has changed since it was last sent. */
  private listChanged = false;

  get size(): number {
    return this.sessions.size;
  }

  /** Entry hosts in the order of their ids. */
  list(): EntrySession[] {
    return [...this.sessions.values()].sort((a, b) => (a.entryHost.id < b.entryHost.id ? -1 : 1));
  }

  has(sessionId: number): boolean {
    return this.sessions.has(sessionId);
  }

  /** Id of a session's entry host; empty without a session. On the hot path of claims. */
  entryHostId(sessionId: number): string {
    return this.sessions.get(sessionId)?.entryHost.id ?? '';
  }

  /** Starts a session; an older one of the same entry host is replaced. */
  open(sessionId: number, entryHost: EntryHost, nowMs: number): void {
    this.sessions.forEach((session, id) => {
      if (session.entryHost.id === entryHost.id) this.sessions.delete(id);
    });
    this.sessions.set(sessionId, {
      sessionId,
      entryHost,
      appliedIndex: 0,
      subscribed: false,
      lastSeenMs: nowMs,
    });
    this.listChanged = true;
  }

  /** Records a heartbeat; returns undefined without a session. */
  ping(sessionId: number, message: PingMessage, nowMs: number): EntrySession | undefined {
    const session = this.sessions.get(sessionId);
    if (!session) return undefined;
    session.appliedIndex = message.appliedIndex;
    session.subscribed = message.subscribe;
    session.lastSeenMs = nowMs;
    const { stopping, cutOff = false } = message;
    const { entryHost } = session;
    if (entryHost.stopping !== stopping || (entryHost.cutOff ?? false) !== cutOff) {
      session.entryHost = { ...entryHost, stopping, cutOff };
      this.listChanged = true;
    }
    return session;
  }

  /** Ids of the sessions with a heartbeat since the given time. */
  activeSince(sinceMs: number): number[] {
    return [...this.sessions.values()]
      .filter((session) => session.lastSeenMs >= sinceMs)
      .map((session) => session.sessionId);
  }

  close(sessionId: number): void {
    if (this.sessions.delete(sessionId)) this.listChanged = true;
  }

  /** Ends sessions that sent no heartbeat for longer than `silenceMs`. */
  expire(nowMs: number, silenceMs: number): void {
    this.sessions.forEach((session, id) => {
      if (nowMs - session.lastSeenMs > silenceMs) this.close(id);
    });
  }

  /** Messages with the current list for every session, if it has changed. */
  takeListUpdates(nowMs: number): SessionSend[] {
    const listed = this.listed(nowMs);
    const ids = listed.map((session) => session.entryHost.id).join();
    if (!this.listChanged && ids === this.listedIds) return [];
    this.listChanged = false;
    this.listedIds = ids;
    const message = this.listMessage(nowMs);
    return [...this.sessions.keys()].map((sessionId) => ({ sessionId, message }));
  }

  listMessage(nowMs: number): ControlToEntryMessage {
    return {
      type: ControlMessageType.EntryHosts,
      entryHosts: this.listed(nowMs).map((session) => session.entryHost),
    };
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
