import { describe, expect, it } from 'vitest';
import { createRoute, createTable } from '../common/routing/fixtures.js';
import { CommandType } from './Commands.js';
import type { RoutingChangeCommand } from './RoutingCommands.js';
import { RoutingState, RoutingVerdict } from './RoutingState.js';

function createChange(changes: Partial<RoutingChangeCommand> = {}): RoutingChangeCommand {
  return {
    type: CommandType.RoutingChange,
    changeId: 'first',
    baseVersion: 0,
    version: 5,
    edit: { table: createTable() },
    actor: 'operator',
    atMs: 0,
    ...changes,
  };
}

describe('RoutingState', () => {
  it('accepts only the first of two changes with the same base version', () => {
    const state = new RoutingState();
    expect(state.change(1, createChange()).verdict).toBe(RoutingVerdict.Accepted);
    const firstChange = createChange({ changeId: 'one', baseVersion: 5, version: 7 });
    const secondChange = createChange({ changeId: 'other', baseVersion: 5, version: 7 });
    expect(state.change(2, firstChange).verdict).toBe(RoutingVerdict.Accepted);
    expect(state.change(3, secondChange).verdict).toBe(RoutingVerdict.Conflict);
    expect(state.view).toMatchObject({ version: 7, index: 2 });
  });

  it('acknowledges a resend of an accepted change, even after later changes', () => {
    const state = new RoutingState();
    state.change(1, createChange());
    state.change(2, createChange({ changeId: 'second', baseVersion: 5, version: 6 }));
    const resend = state.change(3, createChange());
    expect(resend).toMatchObject({ verdict: RoutingVerdict.Accepted, repeated: true, version: 5 });
    expect(state.view.version).toBe(6);
  });

  it('does not record a refused change as accepted', () => {
    const state = new RoutingState();
    const early = createChange({ changeId: 'x', baseVersion: 5, version: 6 });
    expect(state.change(1, early).verdict).toBe(RoutingVerdict.Conflict);
    state.change(2, createChange());
    expect(state.change(3, early).verdict).toBe(RoutingVerdict.Accepted);
  });

  it('refuses a version that is not above the one in force', () => {
    const state = new RoutingState();
    state.change(1, createChange());
    const same = createChange({ changeId: 'same', baseVersion: 5, version: 5 });
    expect(state.change(2, same).verdict).toBe(RoutingVerdict.Invalid);
  });

  it('checks a partial change together with the unchanged items', () => {
    const state = new RoutingState();
    state.change(1, createChange());
    const patch = {
      upsertRoutes: [createRoute('new', { destinations: [{ service: 'none', weight: 1 }] })],
      upsertServices: [],
      removeRoutes: [],
      removeServices: [],
    };
    const change = createChange({ changeId: 'p', baseVersion: 5, version: 6, edit: { patch } });
    expect(state.change(2, change).verdict).toBe(RoutingVerdict.Invalid);
    const removal = { ...patch, upsertRoutes: [], removeServices: ['alpha'] };
    const dangling = createChange({
      changeId: 'q',
      baseVersion: 5,
      version: 6,
      edit: { patch: removal },
    });
    expect(state.change(3, dangling).verdict).toBe(RoutingVerdict.Invalid);
    expect(state.view.version).toBe(5);
  });

  it('restores table, closed zones and accepted changes from a snapshot', () => {
    const state = new RoutingState();
    state.change(1, createChange());
    const closure = { type: CommandType.ZoneClosure, zone: 'perth', closed: true } as const;
    expect(state.closeZone(2, { ...closure, actor: 'operator', atMs: 0 })).toBe(true);
    expect(state.closeZone(3, { ...closure, actor: 'operator', atMs: 0 })).toBe(false);
    const restored = new RoutingState();
    restored.restore(state.toSnapshot());
    expect(restored.view).toEqual(state.view);
    expect(restored.change(4, createChange()).repeated).toBe(true);
  });
});
