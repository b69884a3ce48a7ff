import { findRecordFault } from './RecordCheck.js';
import type { BackendRecord } from './Types.js';

/** Record that was refused for the first time. */
export interface RefusedRecord {
  readonly backend: string;
  /** First field that no reader can use. */
  readonly field: string;
  readonly from: string;
}

/** Backend servers whose refusal is remembered, to log each once. */
const LOGGED_MAX = 1_000;

/** Longest part of an odd id that is logged. */
const LOGGED_ID_LENGTH = 64;

/** Passes on sound records of backend servers; the others are reported once each. */
export class RecordFilter {
  /** Records refused so far. */
  refused = 0;

  private readonly logged = new Set<string>();

  constructor(private readonly onRefused: (refused: RefusedRecord) => void) {}

  /**
   * Returns the sound records.
   *
   * @param from - where the records come from, for the log
   * @example
   * filter.sound([record, { ...record, port: -1 }], 'entry-1'); // [record]
   */
  sound(records: readonly BackendRecord[], from: string): BackendRecord[] {
    if (!Array.isArray(records)) return [];
    return records.filter((record) => {
      const field = findRecordFault(record);
      if (field !== undefined) this.noteRefused(record, field, from);
      return field === undefined;
    });
  }

  private noteRefused(record: Partial<BackendRecord> | null, field: string, from: string): void {
    this.refused += 1;
    const id = record?.id;
    const backend = typeof id === 'string' ? id.slice(0, LOGGED_ID_LENGTH) : '(unreadable)';
    if (this.logged.has(backend) || this.logged.size >= LOGGED_MAX) return;
    this.logged.add(backend);
    this.onRefused({ backend, field, from });
  }
}
