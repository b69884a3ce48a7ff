import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { Role } from '../../common/Enums.js';
import { createBackend } from '../../gateway/fixtures.js';
import { EventLoop } from '../../runtime/EventLoop.js';
import { waitUntil } from '../../../standin/Cluster.js';
import { DataFolder } from '../storage/DataFolder.js';
import { createDiskError, fileHandlePrototype } from '../storage/fixtures.js';
import type { StoredState } from '../storage/Types.js';
import { AdminRequestType } from '../Types.js';
import type { ControlServer } from './ControlServer.js';
import { openSingleControl } from './fixtures.js';

const OPERATOR = { name: 'operator', team: '*', role: Role.Administrator };
const CLOSE_ZONE = { type: AdminRequestType.CloseZone, zone: 'perth', closed: true } as const;
const TICK_MS = 20;

describe('a control host that stops', () => {
  let folder = '';
  let tick = () => {};
  const fatal: unknown[] = [];
  const logged: string[] = [];

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'egret-stop-'));
    fatal.length = 0;
    logged.length = 0;
  });

  afterEach(async () => {
    vi.restoreAllMocks();
    await rm(folder, { recursive: true, force: true });
  });

  async function startLeader(): Promise<ControlServer> {
    const intervals = vi.spyOn(globalThis, 'setInterval');
    const line = (event: string) => logged.push(event);
    const logger = { error: line, warn: line, info: line, debug: line };
    const onFatal = (error: unknown) => fatal.push(error);
    const control = await openSingleControl(folder, { logger, onFatal });
    await control.start();
    tick = intervals.mock.calls.find(([, delayMs]) => delayMs === TICK_MS)![0] as () => void;
    intervals.mockRestore();
    // A host that steps down after this time starts an election at its next tick.
    const { state } = control.reducer.raft;
    const isElectionDue = () => control.reducer.raft.isLeader && state.nowMs > state.electionAtMs;
    await waitUntil(isElectionDue, 'a leader whose election timer has expired');
    return control;
  }

  /** Runs `post` right before the event loop ends, so that its events are still queued then. */
  function postBeforeLoopEnds(post: () => void): void {
    const { dispose } = EventLoop.prototype;
    vi.spyOn(EventLoop.prototype, 'dispose').mockImplementationOnce(function disposeAfterPost(
      this: EventLoop<unknown>,
    ) {
      post();
      dispose.call(this);
    });
  }

  async function readStored(): Promise<StoredState> {
    const data = await DataFolder.open({ folder, initialize: false });
    await data.close();
    return data.stored;
  }

  // Guards against an election, and its writes, by a host that has stepped down to stop.
  it('neither becomes leader again nor writes on events that are still queued', async () => {
    const control = await startLeader();
    const { state } = control.reducer.raft;
    postBeforeLoopEnds(() => tick());
    const { term } = state;
    const { lastIndex } = state.log;
    await control.stop();
    expect(control.reducer.raft.isLeader).toBe(false);
    expect(fatal).toEqual([]);
    const stored = await readStored();
    expect(stored.hardState.term).toBe(term);
    expect(stored.entries.at(-1)?.index).toBe(lastIndex);
  });

  // Guards against a planned stop that ends with the exit code of a failure.
  it('does not fail on a write that the disk refuses until the end', async () => {
    const control = await startLeader();
    const prototype = await fileHandlePrototype(folder);
    vi.spyOn(prototype, 'datasync').mockRejectedValue(createDiskError('ENOSPC'));
    const answer = control.submitAuthenticated(CLOSE_ZONE, OPERATOR);
    await waitUntil(() => logged.includes('disk_refusing'), 'a refused write');
    await control.stop();
    expect((await answer).error).toMatchObject({ kind: 'no-quorum' });
    expect(fatal).toEqual([]);
    expect(logged).toContain('write_abandoned');
  });

  // Guards against a confirmation that no other process receives before this one ends.
  it('confirms nothing that is still queued, and answers what waits for a confirmation', async () => {
    const control = await startLeader();
    let announced: Promise<boolean> = Promise.resolve(true);
    let closed: ReturnType<ControlServer['submitAuthenticated']> | undefined;
    postBeforeLoopEnds(() => {
      tick();
      tick();
      announced = control.announce(createBackend('b-1'));
      closed = control.submitAuthenticated(CLOSE_ZONE, OPERATOR);
    });
    await control.stop();
    expect(await announced).toBe(false);
    expect((await closed!).error).toMatchObject({ kind: 'no-quorum' });
    expect(control.reducer.replicatedState.routing.view.closedZones).toEqual([]);
  });
});
