import { randomUUID } from 'node:crypto';
import { existsSync } from 'node:fs';
import { mkdir, open, readFile, rm, writeFile, type FileHandle } from 'node:fs/promises';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Packr } from 'msgpackr';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import type { HardState, LogEntry, PersistEffect, Snapshot } from '../raft/Types.js';
import { replaceFile, syncFolder } from './ReplaceFile.js';
import type { LogTail, Storage, StoredState } from './Types.js';
import {
  decodeFrame,
  decodeLog,
  encodeFrame,
  encodeRecords,
  WalRecordType,
  type WalRecord,
} from './WalCodec.js';

const LOG_FILE = 'log.wal';
const SNAPSHOT_FILE = 'snapshot.bin';
const IDENTITY_FILE = 'identity';
const LOCK_FILE = 'lock';

const codec = new Packr({ useRecords: false });

/** Options of {@link DataFolder.open}. */
export interface DataFolderOptions {
  readonly folder: string;
  /** Creates the identity of an empty folder; if false, an empty folder is refused. */
  readonly initialize: boolean;
  /** Identity to give an empty folder; random by default. */
  readonly identity?: string;
  /**
   * True if a supervisor runs at most one process on the folder. A lock found at the start is
   * then stale, even if its process id has been reused.
   */
  readonly supervised?: boolean;
  /** Called when the disk starts to refuse writes, and when it accepts them again. */
  readonly onWritesRefused?: (error: unknown) => void;
  readonly onWritesAccepted?: (refusedMs: number) => void;
}

/** Delay before a write that the disk refused is retried. */
const REFUSED_RETRY_MS = 100;

/** Error codes of a disk that is temporarily full or faulty; others are program faults. */
const REFUSAL_CODES: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EIO', 'EROFS', 'EAGAIN']);

function isDiskRefusal(error: unknown): boolean {
  return REFUSAL_CODES.has((error as NodeJS.ErrnoException).code ?? '');
}

/** Write that waits for the next sync. */
interface QueuedWrite {
  readonly bytes: Buffer;
  readonly done: () => void;
  readonly failed: (error: unknown) => void;
}

function isAlive(processId: number): boolean {
  try {
    process.kill(processId, 0);
    return true;
  } catch {
    return false;
  }
}

/** Locks the folder; the lock of a process that no longer runs is taken over. */
async function acquireLock(folder: string, supervised: boolean): Promise<void> {
  const file = path.join(folder, LOCK_FILE);
  const holder = Number.parseInt(await readFile(file, 'utf8').catch(() => ''), 10);
  if (!supervised && holder > 0 && holder !== process.pid && isAlive(holder)) {
    throw new EgretError(
      ErrorKind.DataLocked,
      `The data folder ${folder} is in use by process ${holder}.`,
    );
  }
  try {
    await writeFile(file, `${process.pid}\n`);
  } catch (error) {
    // Under a supervisor the lock is not checked, so a host with a full disk may start as follower.
    if (!supervised || !isDiskRefusal(error)) throw error;
  }
}

/** Identity of a data folder; undefined if the folder is empty. */
export async function storedIdentity(folder: string): Promise<string | undefined> {
  const file = path.join(folder, IDENTITY_FILE);
  return existsSync(file) ? (await readFile(file, 'utf8')).trim() : undefined;
}

async function readIdentity(options: DataFolderOptions): Promise<string> {
  const stored = await storedIdentity(options.folder);
  if (stored !== undefined) return stored;
  if (!options.initialize) {
    throw new EgretError(
      ErrorKind.DataCorrupt,
      `The data folder ${options.folder} is empty; use --initialize only to start a new member.`,
    );
  }
  const identity = options.identity ?? randomUUID();
  await replaceFile(options.folder, IDENTITY_FILE, Buffer.from(`${identity}\n`));
  return identity;
}

async function readSnapshot(folder: string): Promise<Snapshot | null> {
  const file = path.join(folder, SNAPSHOT_FILE);
  if (!existsSync(file)) return null;
  const payload = decodeFrame(await readFile(file), 0);
  if (!payload) {
    throw new EgretError(ErrorKind.DataCorrupt, `The snapshot ${file} fails its checksum.`);
  }
  return codec.unpack(payload) as Snapshot;
}

/** Replays the records of the log on top of the snapshot. */
function replay(contents: ReturnType<typeof decodeLog>, snapshot: Snapshot | null) {
  let hardState: HardState = { term: 0, votedFor: null };
  let entries: LogEntry[] = [];
  contents.records.forEach((record) => {
    switch (record.type) {
      case WalRecordType.HardState:
        hardState = record.hardState;
        break;
      case WalRecordType.Truncate:
        entries = entries.filter((entry) => entry.index < record.fromIndex);
        break;
      default:
        // A write that was queued while the log was replaced may appear twice.
        if ((entries.at(-1)?.index ?? 0) >= record.entry.index) {
          entries = entries.filter((entry) => entry.index < record.entry.index);
        }
        entries.push(record.entry);
    }
  });
  const snapshotIndex = snapshot?.index ?? 0;
  const entryAtSnapshot = entries.find((entry) => entry.index === snapshotIndex);
  // Entries that conflict with a received snapshot must not survive a crash while it is installed.
  if (snapshot && entryAtSnapshot && entryAtSnapshot.term !== snapshot.term) entries = [];
  entries = entries.filter((entry) => entry.index > snapshotIndex);
  entries.forEach((entry, position) => {
    if (entry.index !== snapshotIndex + position + 1) {
      throw new EgretError(
        ErrorKind.DataCorrupt,
        `The log contains entry ${entry.index} instead of entry ${snapshotIndex + position + 1}.`,
      );
    }
  });
  return { hardState, entries };
}

/** Encodes the log that follows a snapshot. */
function encodeTail(tail: LogTail): Buffer {
  const { hardState, entries } = tail;
  return encodeFrame(
    encodeRecords([
      { type: WalRecordType.HardState, hardState },
      ...entries.map((entry) => ({ type: WalRecordType.Entry, entry }) as const),
    ]),
  );
}

/** Encodes the records of one write; those of all writes in a batch share a frame. */
function encodeWrite(write: PersistEffect): Buffer {
  const { hardState, truncateFrom, entries } = write;
  const records: WalRecord[] = [];
  if (hardState) records.push({ type: WalRecordType.HardState, hardState });
  if (truncateFrom > 0) records.push({ type: WalRecordType.Truncate, fromIndex: truncateFrom });
  entries.forEach((entry) => records.push({ type: WalRecordType.Entry, entry }));
  return encodeRecords(records);
}

/** Data folder of a control host: identity, write-ahead log with group commit, snapshot. */
export class DataFolder implements Storage {
  private queue: QueuedWrite[] = [];

  /** Settles after all operations queued so far; operations run one after another. */
  private operations: Promise<void> = Promise.resolve();

  /** Number of syncs so far, exported as a metric. */
  syncs = 0;

  /** Time at which the disk started to refuse writes; undefined while it accepts them. */
  private refusingSinceMs: number | undefined;

  /** Settles once the folder is closed; refused writes fail without a retry from its begin on. */
  private closed: Promise<void> | undefined;

  private constructor(
    private readonly options: DataFolderOptions,
    private handle: FileHandle,
    readonly stored: StoredState,
    /** Length of the log that is certainly synced, in bytes. */
    private durableBytes: number,
  ) {}

  /**
   * Opens and locks a data folder and reads its state.
   *
   * @example
   * const data = await DataFolder.open({ folder: '/var/lib/egret', initialize: false });
   * @throws EgretError of kind data-locked or data-corrupt
   */
  static async open(options: DataFolderOptions): Promise<DataFolder> {
    const { folder } = options;
    await mkdir(folder, { recursive: true });
    await acquireLock(folder, options.supervised ?? false);
    const instanceId = await readIdentity(options);
    const snapshot = await readSnapshot(folder);
    const file = path.join(folder, LOG_FILE);
    const bytes = existsSync(file) ? await readFile(file) : Buffer.alloc(0);
    const contents = decodeLog(bytes);
    const { hardState, entries } = replay(contents, snapshot);
    const handle = await open(file, 'a');
    if (contents.validBytes < bytes.length) await handle.truncate(contents.validBytes);
    await handle.sync();
    await syncFolder(folder);
    const stored = { instanceId, hardState, snapshot, entries };
    return new DataFolder(options, handle, stored, contents.validBytes);
  }

  persist(write: PersistEffect): Promise<void> {
    if (this.closed) return Promise.reject(this.closedError());
    return new Promise((done, failed) => {
      this.queue.push({ bytes: encodeWrite(write), done, failed });
      // The first write of a batch schedules it; later ones join until it begins.
      if (this.queue.length > 1) return;
      this.operations = this.operations.then(() => this.writeBatch());
    });
  }

  saveSnapshot(snapshot: Snapshot, readTail: () => LogTail): Promise<void> {
    if (this.closed) return Promise.reject(this.closedError());
    const saved = this.operations.then(() =>
      this.retryWhileRefused(() => this.replaceLog(snapshot, readTail)),
    );
    this.operations = saved.catch(() => {});
    return saved;
  }

  close(): Promise<void> {
    this.closed ??= this.release();
    return this.closed;
  }

  private async release(): Promise<void> {
    await this.operations;
    await this.handle.close();
    await rm(path.join(this.options.folder, LOCK_FILE), { force: true });
  }

  private closedError(): EgretError {
    const detail = `The data folder ${this.options.folder} is closed.`;
    return new EgretError(ErrorKind.StorageClosed, detail);
  }

  private async replaceLog(snapshot: Snapshot, readTail: () => LogTail): Promise<void> {
    await replaceFile(this.options.folder, SNAPSHOT_FILE, encodeFrame(codec.pack(snapshot)));
    const tail = encodeTail(readTail());
    await replaceFile(this.options.folder, LOG_FILE, tail);
    await this.handle.close();
    this.handle = await open(path.join(this.options.folder, LOG_FILE), 'a');
    this.durableBytes = tail.length;
  }

  /**
   * Writes and syncs everything queued, as one frame: after a loss of power any part of an unsynced
   * batch may be missing, and its checksum tells that from damage to synced data.
   */
  private async writeBatch(): Promise<void> {
    const batch = this.queue;
    this.queue = [];
    try {
      const records = Buffer.concat(batch.map((write) => write.bytes));
      const bytes = records.length > 0 ? encodeFrame(records) : records;
      await this.retryWhileRefused(() => this.append(bytes));
      this.syncs += 1;
      batch.forEach((write) => write.done());
    } catch (error) {
      batch.forEach((write) => write.failed(error));
    }
  }

  /** Appends to the log, after truncating the bytes that a failed write left in it. */
  private async append(bytes: Buffer): Promise<void> {
    if (this.refusingSinceMs !== undefined) await this.handle.truncate(this.durableBytes);
    await this.handle.writeFile(bytes);
    await this.handle.datasync();
    this.durableBytes += bytes.length;
  }

  /**
   * Retries an operation until the disk accepts it. A host whose disk refuses writes acknowledges
   * nothing, like one whose disk stalls, but keeps following the leader; ending the process would
   * not repair the disk. A failed sync may have lost bytes, so every attempt writes all of them.
   */
  private async retryWhileRefused(operation: () => Promise<void>): Promise<void> {
    try {
      await operation();
    } catch (error) {
      if (!isDiskRefusal(error) || this.closed) throw error;
      if (this.refusingSinceMs === undefined) {
        this.refusingSinceMs = performance.now();
        this.options.onWritesRefused?.(error);
      }
      await sleep(REFUSED_RETRY_MS);
      await this.retryWhileRefused(operation);
      return;
    }
    if (this.refusingSinceMs === undefined) return;
    this.options.onWritesAccepted?.(performance.now() - this.refusingSinceMs);
    this.refusingSinceMs = undefined;
  }
}
