import { readFile } from 'node:fs/promises';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Packr } from 'msgpackr';
import type { BackendRecord } from '../../common/backends/Types.js';
import { replaceFile } from './ReplaceFile.js';
import { decodeFrame, encodeFrame } from './WalCodec.js';

const DEPARTURES_FILE = 'departures.bin';

/** Delay before a write that the disk refused is repeated. */
const RETRY_MS = 100;

const codec = new Packr({ useRecords: false });

/** File in the data folder with the departures that this host has acknowledged. */
export class DeparturesFile {
  private closed = false;

  /** Settles once the save in progress has ended. */
  private saving: Promise<void> = Promise.resolve();

  constructor(
    private readonly folder: string,
    private readonly onFailed: (error: unknown) => void,
  ) {}

  /**
   * Replaces the file; resolves with true once it is durable, with false if the file was closed
   * before. A write that the disk refuses is repeated.
   */
  save(records: readonly BackendRecord[]): Promise<boolean> {
    const bytes = encodeFrame(codec.pack({ records }));
    const saved = this.saving.then(() => this.write(bytes));
    this.saving = saved.then(() => {});
    return saved;
  }

  /** Waits for a save in progress; refused writes are no longer repeated. */
  async close(): Promise<void> {
    this.closed = true;
    await this.saving;
  }

  /** Reads the records; returns none if the file is missing or torn. */
  async load(): Promise<readonly BackendRecord[]> {
    const bytes = await readFile(path.join(this.folder, DEPARTURES_FILE)).catch(() => undefined);
    const payload = bytes ? decodeFrame(bytes, 0) : undefined;
    if (!payload) return [];
    return (codec.unpack(payload) as { readonly records: readonly BackendRecord[] }).records;
  }

  private async write(bytes: Uint8Array): Promise<boolean> {
    if (this.closed) return false;
    try {
      await replaceFile(this.folder, DEPARTURES_FILE, bytes);
      return true;
    } catch (error) {
      this.onFailed(error);
    }
    await sleep(RETRY_MS);
    return this.write(bytes);
  }
}
