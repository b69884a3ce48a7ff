import { readFile } from 'node:fs/promises';
import path from 'node:path';
import { Packr } from 'msgpackr';
import type { BackendRecord } from '../../common/backends/Types.js';
import { isRestorable } from '../RestoredBackends.js';
import { replaceFile } from './ReplaceFile.js';
import { decodeFrame, encodeFrame } from './WalCodec.js';

const BACKENDS_FILE = 'backends.bin';

const codec = new Packr({ useRecords: false });

interface SavedBackends {
  readonly savedAtMs: number;
  readonly records: readonly BackendRecord[];
}

/** File in the data folder with the backend servers registered before a restart. */
export class BackendsFile {
  /** Settles once the save in progress has ended; undefined while there is none. */
  private saving: Promise<void> | undefined;

  private closed = false;

  constructor(
    private readonly folder: string,
    private readonly onFailed: (error: unknown) => void,
  ) {}

  /** Saves the records, unless a save is in progress: saves are periodic, so another follows. */
  save(records: readonly BackendRecord[], wallMs: number): Promise<void> {
    if (this.saving || this.closed) return Promise.resolve();
    const saved: SavedBackends = { savedAtMs: wallMs, records };
    this.saving = replaceFile(this.folder, BACKENDS_FILE, encodeFrame(codec.pack(saved)))
      .catch((error: unknown) => this.onFailed(error))
      .finally(() => {
        this.saving = undefined;
      });
    return this.saving;
  }

  /** Waits for a save in progress; later ones are skipped. */
  async close(): Promise<void> {
    this.closed = true;
    await this.saving;
  }

  /** Reads the records; returns none if the file is missing, torn or not recent. */
  async load(wallMs: number): Promise<readonly BackendRecord[]> {
    const bytes = await readFile(path.join(this.folder, BACKENDS_FILE)).catch(() => undefined);
    const payload = bytes ? decodeFrame(bytes, 0) : undefined;
    if (!payload) return [];
    try {
      const { savedAtMs, records } = codec.unpack(payload) as SavedBackends;
      return isRestorable(savedAtMs, wallMs) ? records : [];
    } catch (error) {
      // Backend servers announce themselves again; a start without the file only takes longer.
      this.onFailed(error);
      return [];
    }
  }
}
