import { appendFile, mkdtemp, readFile, rm, truncate, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Packr } from 'msgpackr';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ErrorKind } from '../../common/Errors.js';
import { createRandom, pickIndex } from '../../common/Random.js';
import { CommandType } from '../Commands.js';
import { RaftEffectType, type LogEntry, type PersistEffect, type Snapshot } from '../raft/Types.js';
import { DataFolder } from './DataFolder.js';
import { createDiskError, fileHandlePrototype } from './fixtures.js';
import { encodeFrame, WalRecordType } from './WalCodec.js';

function createEntry(index: number): LogEntry {
  const command = { type: CommandType.Noop } as const;
  return { index, term: 1 + Math.floor(index / 10), command };
}

function createWrite(changes: Partial<PersistEffect>): PersistEffect {
  const type = RaftEffectType.Persist;
  return { type, hardState: null, truncateFrom: 0, entries: [], generation: 0, ...changes };
}

function createSnapshot(index: number, term = 1): Snapshot {
  return {
    index,
    term,
    membership: { voters: [], learners: [] },
    bytes: new Uint8Array([index]),
  };
}

describe('DataFolder', () => {
  let folder = '';
  const open = (initialize = true) => DataFolder.open({ folder, initialize });
  const logFile = () => path.join(folder, 'log.wal');

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'egret-data-'));
  });

  afterEach(() => rm(folder, { recursive: true, force: true }));

  async function writeEntries(count: number): Promise<number[]> {
    const data = await open();
    const sizes: number[] = [];
    for (let index = 1; index <= count; index += 1) {
      // Each write is acknowledged before the next, so that its length is known.
      // eslint-disable-next-line no-await-in-loop
      await data.persist(createWrite({ entries: [createEntry(index)] }));
      // eslint-disable-next-line no-await-in-loop
      sizes.push((await readFile(logFile())).length);
    }
    await data.close();
    return sizes;
  }

  it('keeps identity, vote and entries across a restart', async () => {
    const data = await open();
    await data.persist(createWrite({ hardState: { term: 3, votedFor: 'control-2' } }));
    await data.persist(createWrite({ entries: [1, 2, 3].map(createEntry) }));
    await data.persist(createWrite({ truncateFrom: 3, entries: [createEntry(3)] }));
    await data.close();
    const reopened = await open(false);
    expect(reopened.stored.instanceId).toBe(data.stored.instanceId);
    expect(reopened.stored.hardState).toEqual({ term: 3, votedFor: 'control-2' });
    expect(reopened.stored.entries.map((entry) => entry.index)).toEqual([1, 2, 3]);
    await reopened.close();
  });

  describe('once it is closed', () => {
    afterEach(() => vi.restoreAllMocks());

    const readTail = () => ({ hardState: { term: 1, votedFor: null }, entries: [] });

    // Guards against a write to a file handle that is closed, or that another process has reopened.
    it('rejects writes and snapshots with an error of its own kind', async () => {
      const data = await open();
      await data.close();
      const write = createWrite({ entries: [createEntry(1)] });
      await expect(data.persist(write)).rejects.toMatchObject({ kind: 'storage-closed' });
      const saved = data.saveSnapshot(createSnapshot(1), readTail);
      await expect(saved).rejects.toMatchObject({ kind: 'storage-closed' });
      await data.close();
      const reopened = await open(false);
      expect(reopened.stored).toMatchObject({ snapshot: null, entries: [] });
      await reopened.close();
    });

    // Guards against a batch that is written after the operations that close waits for.
    it('completes the writes queued before and rejects those queued while it waits', async () => {
      const data = await open();
      const prototype = await fileHandlePrototype(folder);
      const { datasync } = prototype;
      let release = () => {};
      const blocked = new Promise<void>((resolve) => {
        release = resolve;
      });
      vi.spyOn(prototype, 'datasync').mockImplementationOnce(async function syncLate(
        this: unknown,
      ) {
        await blocked;
        await datasync.call(this);
      });
      const first = data.persist(createWrite({ entries: [createEntry(1)] }));
      const second = data.persist(createWrite({ entries: [createEntry(2)] }));
      const closed = data.close();
      const late = data.persist(createWrite({ entries: [createEntry(3)] })).then(
        () => 'acknowledged',
        (error: unknown) => (error as { kind?: string }).kind,
      );
      release();
      await Promise.all([first, second, closed]);
      expect(await late).toBe('storage-closed');
      const reopened = await open(false);
      expect(reopened.stored.entries.map((entry) => entry.index)).toEqual([1, 2]);
      await reopened.close();
    });
  });

  describe('on a disk that refuses writes', () => {
    afterEach(() => vi.restoreAllMocks());

    it('retries refused writes and removes the bytes of a torn write', async () => {
      const refused: unknown[] = [];
      const refusedForMs: number[] = [];
      const data = await DataFolder.open({
        folder,
        initialize: true,
        onWritesRefused: (error) => refused.push(error),
        onWritesAccepted: (refusedMs) => refusedForMs.push(refusedMs),
      });
      await data.persist(createWrite({ entries: [createEntry(1)] }));
      const prototype = await fileHandlePrototype(folder);
      const originalWriteFile = prototype.writeFile;
      vi.spyOn(prototype, 'writeFile').mockImplementationOnce(async function writeTorn(
        this: unknown,
        bytes: Uint8Array,
      ) {
        await originalWriteFile.call(this, bytes.subarray(0, 7));
        throw createDiskError('ENOSPC');
      });
      await data.persist(createWrite({ entries: [createEntry(2)] }));
      vi.spyOn(prototype, 'datasync').mockRejectedValueOnce(createDiskError('EIO'));
      await data.persist(createWrite({ entries: [createEntry(3)] }));
      await data.close();
      expect(refused).toHaveLength(2);
      expect(refusedForMs).toHaveLength(2);
      const reopened = await open(false);
      expect(reopened.stored.entries.map((entry) => entry.index)).toEqual([1, 2, 3]);
      await reopened.close();
    });

    // The disk refuses one of the syncs while a snapshot replaces the log.
    it.each([1, 2, 3, 4])('retries a snapshot after a refused sync, number %i', async (refused) => {
      const data = await open();
      await data.persist(createWrite({ entries: [1, 2].map(createEntry) }));
      const prototype = await fileHandlePrototype(folder);
      const originalSync = prototype.sync;
      let syncs = 0;
      vi.spyOn(prototype, 'sync').mockImplementation(async function refuseOnce(this: unknown) {
        syncs += 1;
        await originalSync.call(this);
        if (syncs === refused) throw createDiskError('EIO');
      });
      await data.saveSnapshot(createSnapshot(1), () => ({
        hardState: { term: 1, votedFor: null },
        entries: [createEntry(2)],
      }));
      await data.persist(createWrite({ entries: [createEntry(3)] }));
      vi.restoreAllMocks();
      await data.close();
      const reopened = await open(false);
      expect(reopened.stored.snapshot?.index).toBe(1);
      expect(reopened.stored.entries).toEqual([2, 3].map(createEntry));
      await reopened.close();
    });

    it('does not acknowledge a refused write and fails it once the folder is closed', async () => {
      const data = await open();
      const prototype = await fileHandlePrototype(folder);
      vi.spyOn(prototype, 'datasync').mockRejectedValue(createDiskError('ENOSPC'));
      const write = data.persist(createWrite({ entries: [createEntry(1)] }));
      const outcome = write.then(
        () => 'acknowledged',
        () => 'failed',
      );
      await data.close();
      expect(await outcome).toBe('failed');
    });

    it('fails a write at once on an error that is not a disk refusal', async () => {
      const data = await open();
      const prototype = await fileHandlePrototype(folder);
      vi.spyOn(prototype, 'datasync').mockRejectedValueOnce(createDiskError('EBADF'));
      const write = data.persist(createWrite({ entries: [createEntry(1)] }));
      await expect(write).rejects.toThrow('EBADF');
      await data.close();
    });
  });

  it('takes over a lock with a reused process id only when run under a supervisor', async () => {
    const data = await open();
    await data.close();
    // The parent of the test process stands for the process that reuses the id.
    await writeFile(path.join(folder, 'lock'), `${process.ppid}\n`);
    await expect(open(false)).rejects.toMatchObject({ kind: 'data-locked' });
    const reopened = await DataFolder.open({ folder, initialize: false, supervised: true });
    expect(reopened.stored.instanceId).toBe(data.stored.instanceId);
    await reopened.close();
  });

  it('refuses an empty folder without the initialize option', async () => {
    await expect(open(false)).rejects.toMatchObject({ kind: 'data-corrupt' });
  });

  it('refuses a folder that a running process has locked', async () => {
    await (await open()).close();
    await writeFile(path.join(folder, 'lock'), `${process.ppid}\n`);
    await expect(open(false)).rejects.toMatchObject({ kind: 'data-locked' });
  });

  it('loses no acknowledged entry in 200 crashes at random bytes of the log', async () => {
    const random = createRandom(11);
    const sizes = await writeEntries(40);
    const fullLog = await readFile(logFile());
    for (let round = 0; round < 200; round += 1) {
      const acknowledged = pickIndex(random, sizes.length);
      const from = sizes[acknowledged]!;
      const cut = from + pickIndex(random, fullLog.length - from + 1);
      // The rounds share one folder, so they run one after another.
      // eslint-disable-next-line no-await-in-loop
      await writeFile(logFile(), fullLog.subarray(0, cut));
      // eslint-disable-next-line no-await-in-loop
      const data = await open(false);
      const indices = data.stored.entries.map((entry) => entry.index);
      const complete = sizes.filter((size) => size <= cut).length;
      expect(indices).toEqual(Array.from({ length: complete }, (unused, position) => position + 1));
      expect(indices.length).toBeGreaterThan(acknowledged);
      // eslint-disable-next-line no-await-in-loop
      await data.close();
    }
  });

  it('discards a torn tail and accepts further writes', async () => {
    const sizes = await writeEntries(5);
    await truncate(logFile(), sizes[4]! - 3);
    const data = await open(false);
    await data.persist(createWrite({ entries: [createEntry(5)] }));
    await data.close();
    const reopened = await open(false);
    expect(reopened.stored.entries).toHaveLength(5);
    await reopened.close();
  });

  it('refuses a log with damage before valid records', async () => {
    const sizes = await writeEntries(5);
    const bytes = await readFile(logFile());
    const damaged = sizes[1]! + 10;
    bytes[damaged] = 255 - bytes[damaged]!;
    await writeFile(logFile(), bytes);
    await expect(open(false)).rejects.toMatchObject({ kind: 'data-corrupt' });
  });

  /** Length of the chunks in which Node.js writes a long buffer to a file. */
  const CHUNK_BYTES = 512 * 1024;

  const createLongEntry = (index: number, lengthBytes: number): LogEntry => ({
    index,
    term: 1,
    command: {
      type: CommandType.Refusal,
      path: 'x'.repeat(lengthBytes),
      kind: ErrorKind.Forbidden,
      actor: 'operator',
      atMs: 0,
    },
  });

  // An unsynced batch whose start is lost must not hide the synced log before it.
  it.each([
    { name: 'the first record is torn', from: 10, to: 14 },
    { name: 'the first chunk of a long write is missing', from: 0, to: CHUNK_BYTES },
  ])('keeps the synced log if, of an unsynced batch, $name', async ({ from, to }) => {
    const data = await open();
    await data.persist(createWrite({ entries: [createEntry(1)] }));
    const syncedBytes = (await readFile(logFile())).length;
    const hardState = { term: 2, votedFor: 'control-2' };
    await Promise.all([
      data.persist(createWrite({ entries: [createLongEntry(2, CHUNK_BYTES)] })),
      data.persist(createWrite({ hardState, truncateFrom: 2, entries: [createEntry(2)] })),
    ]);
    await data.close();
    const bytes = await readFile(logFile());
    bytes.fill(0, syncedBytes + from, syncedBytes + to);
    await writeFile(logFile(), bytes);
    const reopened = await open(false);
    expect(reopened.stored.entries).toEqual([createEntry(1)]);
    expect(reopened.stored.hardState.term).toBe(0);
    await reopened.persist(createWrite({ entries: [createEntry(2)] }));
    await reopened.close();
    const last = await open(false);
    expect(last.stored.entries).toEqual([1, 2].map(createEntry));
    await last.close();
  });

  // Each of 300 losses of power damages random parts of the last batch, which is not yet synced.
  it('opens with the synced log or the whole batch after any damage to an unsynced batch', async () => {
    const random = createRandom(23);
    await writeEntries(3);
    const syncedLog = await readFile(logFile());
    const data = await open(false);
    await Promise.all(
      [4, 5, 6, 7].map((index) => data.persist(createWrite({ entries: [createEntry(index)] }))),
    );
    await data.close();
    const fullLog = await readFile(logFile());
    for (let round = 0; round < 300; round += 1) {
      const bytes = Buffer.from(fullLog);
      const span = bytes.length - syncedLog.length;
      for (let hole = 0; hole <= pickIndex(random, 3); hole += 1) {
        const start = syncedLog.length + pickIndex(random, span);
        bytes.fill(0, start, Math.min(bytes.length, start + 1 + pickIndex(random, span)));
      }
      // eslint-disable-next-line no-await-in-loop
      await writeFile(logFile(), bytes);
      // eslint-disable-next-line no-await-in-loop
      const reopened = await open(false);
      const whole = bytes.equals(fullLog);
      expect(reopened.stored.entries).toHaveLength(whole ? 7 : 3);
      // eslint-disable-next-line no-await-in-loop
      await reopened.close();
    }
  });

  it('opens a log with one frame for each record and appends to it', async () => {
    const codec = new Packr({ useRecords: false });
    const records = [1, 2, 3].map((index) => ({
      type: WalRecordType.Entry,
      entry: createEntry(index),
    }));
    await writeEntries(0);
    await writeFile(
      logFile(),
      Buffer.concat(records.map((record) => encodeFrame(codec.pack(record)))),
    );
    const data = await open(false);
    await data.persist(createWrite({ entries: [createEntry(4)] }));
    await data.close();
    const reopened = await open(false);
    expect(reopened.stored.entries).toEqual([1, 2, 3, 4].map(createEntry));
    await reopened.close();
  });

  // What was acknowledged must be readable, whatever its length.
  it('reads back an entry and a snapshot of more than 16 MiB', async () => {
    const lengthBytes = 17 * 1024 * 1024;
    const data = await open();
    const bytes = new Uint8Array(lengthBytes);
    const snapshot = { index: 1, term: 1, membership: { voters: [], learners: [] }, bytes };
    const entries = [createLongEntry(2, lengthBytes)];
    await data.saveSnapshot(snapshot, () => ({
      hardState: { term: 1, votedFor: null },
      entries: [],
    }));
    await data.persist(createWrite({ entries }));
    await data.persist(createWrite({ entries: [createEntry(3)] }));
    await data.close();
    const reopened = await open(false);
    expect(reopened.stored.snapshot?.bytes).toHaveLength(lengthBytes);
    expect(reopened.stored.entries.map((entry) => entry.index)).toEqual([2, 3]);
    await reopened.close();
  });

  // A loss of power may leave the new snapshot with the old log, but not the reverse: the folder is
  // synced in between. Temporary files may remain at any step.
  it.each([
    { name: 'that covers part of the log', index: 2, term: 1, kept: [3, 4] },
    { name: 'that covers more than the log', index: 9, term: 1, kept: [] },
    { name: 'that conflicts with the log', index: 2, term: 5, kept: [] },
  ])('opens after a loss of power between the steps of a snapshot $name', async (snapshot) => {
    const file = (name: string) => path.join(folder, name);
    const data = await open();
    const hardState = { term: 5, votedFor: 'control-2' };
    await data.persist(createWrite({ hardState, entries: [1, 2, 3, 4].map(createEntry) }));
    const oldLog = await readFile(logFile());
    const kept = snapshot.kept.map(createEntry);
    await data.saveSnapshot(createSnapshot(snapshot.index, snapshot.term), () => ({
      hardState,
      entries: kept,
    }));
    await data.close();
    const newLog = await readFile(logFile());
    const newSnapshot = await readFile(file('snapshot.bin'));
    const steps = [
      { log: oldLog, saved: undefined, expected: [1, 2, 3, 4].map(createEntry) },
      { log: oldLog, saved: newSnapshot, expected: kept },
      { log: newLog, saved: newSnapshot, expected: kept },
    ];
    for (let step = 0; step < steps.length; step += 1) {
      const { log, saved, expected } = steps[step]!;
      // The steps share one folder, so they run one after another.
      /* eslint-disable no-await-in-loop */
      await writeFile(logFile(), log);
      await rm(file('snapshot.bin'), { force: true });
      if (saved) await writeFile(file('snapshot.bin'), saved);
      await writeFile(file('log.wal.new'), 'torn');
      await writeFile(file('snapshot.bin.new'), 'torn');
      const reopened = await open(false);
      expect(reopened.stored.entries).toEqual(expected);
      expect(reopened.stored.hardState).toEqual(hardState);
      await reopened.close();
      /* eslint-enable no-await-in-loop */
    }
  });

  it('refuses a damaged snapshot', async () => {
    const data = await open();
    const membership = { voters: [], learners: [] };
    const snapshot = { index: 2, term: 1, membership, bytes: new Uint8Array([1]) };
    await data.persist(createWrite({ entries: [1, 2, 3].map(createEntry) }));
    const hardState = { term: 1, votedFor: null };
    await data.saveSnapshot(snapshot, () => ({ hardState, entries: [createEntry(3)] }));
    await data.close();
    const reopened = await open(false);
    expect(reopened.stored.snapshot?.index).toBe(2);
    expect(reopened.stored.entries.map((entry) => entry.index)).toEqual([3]);
    await reopened.close();
    await appendFile(path.join(folder, 'snapshot.bin'), '');
    await writeFile(path.join(folder, 'snapshot.bin'), 'damaged');
    await expect(open(false)).rejects.toMatchObject({ kind: 'data-corrupt' });
  });

  it('keeps writes that are queued while a snapshot replaces the log', async () => {
    const data = await open();
    await data.persist(createWrite({ entries: [1, 2].map(createEntry) }));
    const entries = [createEntry(2)];
    const snapshot = {
      index: 1,
      term: 1,
      membership: { voters: [], learners: [] },
      bytes: new Uint8Array([1]),
    };
    const hardState = { term: 1, votedFor: null };
    const saved = data.saveSnapshot(snapshot, () => ({ hardState, entries }));
    const written = data.persist(createWrite({ entries: [createEntry(3)] }));
    entries.push(createEntry(3));
    await Promise.all([saved, written]);
    await data.close();
    const reopened = await open(false);
    expect(reopened.stored.entries.map((entry) => entry.index)).toEqual([2, 3]);
    await reopened.close();
  });
});
