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
import { decodeFrame, decodeLog, encodeFrame, encodeRecord, WalRecordType } from './WalCodec.js';

const LOG_FILE = 'log.wal';
const SNAPSHOT_FILE = 'snapshot.bin';
const IDENTITY_FILE = 'identity';
const LOCK_FILE = 'lock';

const codec = new Packr({ useRecords: false });

/** Options of {@link DataFolder.open}. */
export interface DataFolderOptions {
  readonly folder: string;
  /** Creates the identity of an empty folder; without it an empty folder is refused. */
  readonly initialize: boolean;
  /** Identity to give an empty folder; random by default. */
  readonly identity?: string;
  /**
   * True where a supervisor runs at most one process on the folder: a lock that is found then
   * belongs to a process that is gone, even if another one has its number by now.
   */
  readonly supervised?: boolean;
  /** Told when the disk begins to refuse writes, and when it takes them again. */
  readonly onRefusing?: (error: unknown) => void;
  readonly onTaking?: (refusedMs: number) => void;
}

/** Pause before a write that the disk refused is tried again. */
const REFUSED_RETRY_MS = 100;

/** Errors of a disk that is full or faulty for a while; others are faults of this program. */
const REFUSALS: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EIO', 'EROFS', 'EAGAIN']);

function isRefusal(error: unknown): boolean {
  return REFUSALS.has((error as NodeJS.ErrnoException).code ?? '');
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

/** Takes the lock of the folder; the lock of a process that is gone is taken over. */
async function takeLock(folder: string, supervised: boolean): Promise<void> {
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
    // Under a supervisor nobody reads the lock, so a full disk needn't keep the host from following.
    if (!supervised || !isRefusal(error)) throw error;
  }
}

/** Identity of a data folder; undefined where it is empty. */
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
      `The data folder ${options.folder} is empty; start with --initialize only a new member.`,
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

/** Replays the records of the log over the snapshot. */
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
        // A write that was queued while the log was replaced may stand twice.
        if ((entries.at(-1)?.index ?? 0) >= record.entry.index) {
          entries = entries.filter((entry) => entry.index < record.entry.index);
        }
        entries.push(record.entry);
    }
  });
  const base = snapshot?.index ?? 0;
  const atBase = entries.find((entry) => entry.index === base);
  // Entries that contradict a received snapshot must not outlive a crash during its installation.
  if (snapshot && atBase && atBase.term !== snapshot.term) entries = [];
  entries = entries.filter((entry) => entry.index > base);
  entries.forEach((entry, position) => {
    if (entry.index !== base + position + 1) {
      throw new EgretError(
        ErrorKind.DataCorrupt,
        `The log holds entry ${entry.index} where ${base + position + 1} belongs.`,
      );
    }
  });
  return { hardState, entries };
}

/** Encodes the log that follows a snapshot. */
function encodeTail(tail: LogTail): Buffer {
  const frames = [encodeRecord({ type: WalRecordType.HardState, hardState: tail.hardState })];
  tail.entries.forEach((entry) => frames.push(encodeRecord({ type: WalRecordType.Entry, entry })));
  return Buffer.concat(frames);
}

/** Encodes one write of the replicated log. */
export function encodeWrite(write: PersistEffect): Buffer {
  const frames: Buffer[] = [];
  if (write.hardState) {
    frames.push(encodeRecord({ type: WalRecordType.HardState, hardState: write.hardState }));
  }
  if (write.truncateFrom > 0) {
    frames.push(encodeRecord({ type: WalRecordType.Truncate, fromIndex: write.truncateFrom }));
  }
  write.entries.forEach((entry) => frames.push(encodeRecord({ type: WalRecordType.Entry, entry })));
  return Buffer.concat(frames);
}

/** Data folder of a control host: identity, write-ahead log with group commit, snapshot. */
export class DataFolder implements Storage {
  private queue: QueuedWrite[] = [];

  /** Settles after every operation so far; operations follow each other. */
  private operations: Promise<void> = Promise.resolve();

  /** Syncs done so far, exported as a metric. */
  syncs = 0;

  /** Since when the disk refuses writes; undefined while it takes them. */
  private refusingSinceMs: number | undefined;

  /** A folder that is being released waits for no disk. */
  private closing = false;

  private constructor(
    private readonly options: DataFolderOptions,
    private handle: FileHandle,
    readonly stored: StoredState,
    /** Bytes of the log that are known to be synced. */
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
    await takeLock(folder, options.supervised ?? false);
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
    return new Promise((done, failed) => {
      this.queue.push({ bytes: encodeWrite(write), done, failed });
      // The first write of a batch schedules it; later ones join until it begins.
      if (this.queue.length > 1) return;
      this.operations = this.operations.then(() => this.writeBatch());
    });
  }

  saveSnapshot(snapshot: Snapshot, readTail: () => LogTail): Promise<void> {
    const saved = this.operations.then(() =>
      this.insist(() => this.replaceLog(snapshot, readTail)),
    );
    this.operations = saved.catch(() => {});
    return saved;
  }

  async close(): Promise<void> {
    this.closing = true;
    await this.operations;
    await this.handle.close();
    await rm(path.join(this.options.folder, LOCK_FILE), { force: true });
  }

  private async replaceLog(snapshot: Snapshot, readTail: () => LogTail): Promise<void> {
    await replaceFile(this.options.folder, SNAPSHOT_FILE, encodeFrame(codec.pack(snapshot)));
    const tail = encodeTail(readTail());
    await replaceFile(this.options.folder, LOG_FILE, tail);
    await this.handle.close();
    this.handle = await open(path.join(this.options.folder, LOG_FILE), 'a');
    this.durableBytes = tail.length;
  }

  /** Writes and syncs everything queued, one sync for the whole batch. */
  private async writeBatch(): Promise<void> {
    const batch = this.queue;
    this.queue = [];
    const bytes = Buffer.concat(batch.map((write) => write.bytes));
    try {
      await this.insist(() => this.append(bytes));
      this.syncs += 1;
      batch.forEach((write) => write.done());
    } catch (error) {
      batch.forEach((write) => write.failed(error));
    }
  }

  /** Appends to the log; whatever an earlier try left behind is cut off first. */
  private async append(bytes: Buffer): Promise<void> {
    if (this.refusingSinceMs !== undefined) await this.handle.truncate(this.durableBytes);
    await this.handle.writeFile(bytes);
    await this.handle.datasync();
    this.durableBytes += bytes.length;
  }

  /**
   * Repeats an operation until the disk takes it. A host whose disk refuses writes acknowledges
   * nothing, like one whose disk stalls, but goes on following; ending it would not mend the disk.
   * A failed sync may have lost the bytes, so a try always writes all of them again.
   */
  private async insist(operation: () => Promise<void>): Promise<void> {
    try {
      await operation();
    } catch (error) {
      if (!isRefusal(error) || this.closing) throw error;
      if (this.refusingSinceMs === undefined) {
        this.refusingSinceMs = performance.now();
        this.options.onRefusing?.(error);
      }
      await sleep(REFUSED_RETRY_MS);
      await this.insist(operation);
      return;
    }
    if (this.refusingSinceMs === undefined) return;
    this.options.onTaking?.(performance.now() - this.refusingSinceMs);
    this.refusingSinceMs = undefined;
  }
}
