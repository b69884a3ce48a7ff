import { describe, expect, it } from 'vitest';
import { ControlMessageType } from '../common/Messages.js';
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
    const listed = (cutOff: boolean | undefined) => {
      sessions.ping(1, { ...createPing(), cutOff }, 100);
      return sessions
        .takeListUpdates(100)
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
});
