import { describe, expect, it } from 'vitest';
import { ControlMessageType, EntryHostUpdates } from '../common/Messages.js';
import { createEntryHost } from '../gateway/fixtures.js';
import { EntrySessions } from './EntrySessions.js';

const UNLIST_AFTER_MS = 650;

function createPing() {
  return {
    type: ControlMessageType.Ping,
    pingId: 1,
    appliedIndex: 0,
    subscribe: false,
    stopping: false,
  } as const;
}

describe('EntrySessions', () => {
  const listedIds = (sessions: EntrySessions, nowMs: number) => {
    const message = sessions.listMessage(nowMs);
    return message.type === ControlMessageType.EntryHosts
      ? message.entryHosts.map((host) => host.id)
      : [];
  };

  // Guards against an entry host that was paused, kept its link and never gets an answer again.
  it('resumes a session that expired, with the next heartbeat on its link', () => {
    const sessions = new EntrySessions();
    sessions.open(1, createEntryHost('edge-1'), 0);
    sessions.expire(6_000, 5_000);
    expect(sessions.size).toBe(0);
    expect(sessions.ping(1, createPing(), 6_100)).toBeDefined();
    expect(sessions.list().map(({ sessionId }) => sessionId)).toEqual([1]);
  });

  it('resumes no session whose link was closed, or that a newer one has replaced', () => {
    const sessions = new EntrySessions();
    sessions.open(1, createEntryHost('edge-1'), 0);
    sessions.open(2, createEntryHost('edge-2'), 0);
    sessions.expire(6_000, 5_000);
    sessions.close(1);
    sessions.open(3, createEntryHost('edge-2'), 6_050);
    const resumed = [1, 2].map((sessionId) => sessions.ping(sessionId, createPing(), 6_100));
    expect(resumed).toEqual([undefined, undefined]);
    expect(sessions.list().map(({ sessionId }) => sessionId)).toEqual([3]);
  });

  it('stops listing a silent host, and lists it again only after steady heartbeats', () => {
    const sessions = new EntrySessions({ unlistAfterMs: UNLIST_AFTER_MS });
    sessions.open(1, createEntryHost('e-1'), 0);
    expect(listedIds(sessions, 600)).toEqual(['e-1']);
    expect(listedIds(sessions, 700)).toEqual([]);
    sessions.ping(1, createPing(), 5_000);
    expect(listedIds(sessions, 5_000)).toEqual([]);
    sessions.ping(1, createPing(), 6_500);
    expect(listedIds(sessions, 6_500)).toEqual([]);
    sessions.ping(1, createPing(), 7_000);
    expect(listedIds(sessions, 7_000)).toEqual(['e-1']);
  });

  // Guards against changes that are sent ten times a second while nothing changes: an entry host has
  // sessions at several control hosts, and each shares a record of its own.
  it('sends no change while control hosts share equal records of a host in turn', () => {
    let shared = [createEntryHost('e-2')];
    const sessions = new EntrySessions({ shared: () => shared });
    sessions.open(1, createEntryHost('e-1'), 0);
    expect(sessions.takeListUpdates(0)).toHaveLength(1);
    shared = [createEntryHost('e-2')];
    expect(sessions.takeListUpdates(1_000)).toEqual([]);
    shared = [{ ...createEntryHost('e-2'), stopping: true }];
    expect(sessions.takeListUpdates(2_000)).toHaveLength(1);
  });

  it('lists a restarted host at once', () => {
    const sessions = new EntrySessions({ unlistAfterMs: UNLIST_AFTER_MS });
    sessions.open(1, createEntryHost('e-1'), 0);
    sessions.close(1);
    expect(listedIds(sessions, 100)).toEqual([]);
    sessions.open(2, createEntryHost('e-1'), 200);
    expect(listedIds(sessions, 200)).toEqual(['e-1']);
  });

  it('lists a host as cut off while its heartbeats say so, with a new list for each change', () => {
    const sessions = new EntrySessions({ unlistAfterMs: UNLIST_AFTER_MS });
    sessions.open(1, createEntryHost('e-1'), 0);
    sessions.takeListUpdates(0);
    let nowMs = 0;
    const listed = (cutOff: boolean | undefined) => {
      nowMs += 100;
      sessions.ping(1, { ...createPing(), cutOff }, nowMs);
      return sessions
        .takeListUpdates(nowMs)
        .map(({ message }) =>
          message.type === ControlMessageType.EntryHosts
            ? message.entryHosts.map((host) => host.cutOff ?? false)
            : [],
        );
    };
    expect(listed(undefined)).toEqual([]);
    expect(listed(true)).toEqual([[true]]);
    expect(listed(true)).toEqual([]);
    expect(listed(false)).toEqual([[false]]);
  });

  it('sends only the changes to a host that accepts them, and nothing to one that wants none', () => {
    const sessions = new EntrySessions({ unlistAfterMs: UNLIST_AFTER_MS });
    sessions.open(1, createEntryHost('e-1'), 0, EntryHostUpdates.None);
    sessions.open(2, createEntryHost('e-2'), 0, EntryHostUpdates.None);
    expect(sessions.takeListUpdates(0)).toEqual([]);
    const whole = sessions.setUpdates(1, EntryHostUpdates.Changes);
    expect(whole).toMatchObject({ entryHosts: [{ id: 'e-1' }, { id: 'e-2' }] });
    sessions.open(3, createEntryHost('e-3'), 50, EntryHostUpdates.None);
    sessions.close(2);
    sessions.ping(1, createPing(), 100);
    expect(sessions.takeListUpdates(100)).toEqual([
      {
        sessionIds: [1],
        message: {
          type: ControlMessageType.EntryHostChanges,
          entryHosts: [createEntryHost('e-3')],
          removedIds: ['e-2'],
        },
      },
    ]);
    expect(sessions.takeListUpdates(200)).toEqual([]);
  });

  // The list that a session starts from must be the one that the next changes are relative to.
  it('removes a host that left between two updates also from a list that was sent meanwhile', () => {
    const sessions = new EntrySessions({ unlistAfterMs: UNLIST_AFTER_MS });
    sessions.open(1, createEntryHost('e-1'), 0, EntryHostUpdates.None);
    sessions.takeListUpdates(0);
    sessions.open(2, createEntryHost('e-2'), 20, EntryHostUpdates.None);
    expect(sessions.setUpdates(1, EntryHostUpdates.Changes)).toMatchObject({
      entryHosts: [{ id: 'e-1' }],
    });
    sessions.close(2);
    expect(sessions.takeListUpdates(100)).toEqual([]);
  });

  it('sends at most one list in an interval, however many hosts start', () => {
    const sessions = new EntrySessions();
    let updates = 0;
    for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
      sessions.open(nowMs, createEntryHost(`e-${nowMs}`), nowMs);
      updates += sessions.takeListUpdates(nowMs).length;
    }
    expect(updates).toBe(10);
  });
});
