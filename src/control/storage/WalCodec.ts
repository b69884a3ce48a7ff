import { crc32 } from 'node:zlib';
import { Packr } from 'msgpackr';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import type { HardState, LogEntry } from '../raft/Types.js';

/** Kinds of records in the write-ahead log. */
export enum WalRecordType {
  HardState = 'hard-state',
  Entry = 'entry',
  Truncate = 'truncate',
}

export type WalRecord =
  | { readonly type: WalRecordType.HardState; readonly hardState: HardState }
  | { readonly type: WalRecordType.Entry; readonly entry: LogEntry }
  | { readonly type: WalRecordType.Truncate; readonly fromIndex: number };

/** Result of reading a write-ahead log. */
export interface WalContents {
  readonly records: readonly WalRecord[];
  /** Length of the valid prefix; anything after it is a torn batch. */
  readonly validBytes: number;
}

/** Header before each payload: its length and checksum. */
const FRAME_HEADER_BYTES = 8;
const CHECKSUM_OFFSET_BYTES = 4;
const codec = new Packr({ useRecords: false });

/**
 * Frames one payload with its length and CRC-32.
 *
 * @example
 * encodeFrame(new Uint8Array([1])).length; // 9
 */
export function encodeFrame(payload: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  frame.writeUInt32LE(payload.length, 0);
  frame.writeUInt32LE(crc32(payload), CHECKSUM_OFFSET_BYTES);
  frame.set(payload, FRAME_HEADER_BYTES);
  return frame;
}

/**
 * Returns the payload of the frame at an offset; undefined if there is no valid frame.
 *
 * @example
 * decodeFrame(encodeFrame(payload), 0); // payload
 */
export function decodeFrame(bytes: Buffer, offsetBytes: number): Buffer | undefined {
  const start = offsetBytes + FRAME_HEADER_BYTES;
  if (start > bytes.length) return undefined;
  const payloadBytes = bytes.readUInt32LE(offsetBytes);
  const end = start + payloadBytes;
  if (payloadBytes === 0 || end > bytes.length) return undefined;
  const payload = bytes.subarray(start, end);
  const expected = bytes.readUInt32LE(offsetBytes + CHECKSUM_OFFSET_BYTES);
  return crc32(payload) === expected ? payload : undefined;
}

/**
 * Encodes records of the write-ahead log, to be framed together by {@link encodeFrame}.
 *
 * @example
 * encodeFrame(encodeRecords([record])); // a batch of one record
 */
export function encodeRecords(records: readonly WalRecord[]): Buffer {
  return Buffer.concat(records.map((record) => codec.pack(record)));
}

/** True if a valid frame starts anywhere after the offset. */
function hasFrameAfter(bytes: Buffer, offsetBytes: number): boolean {
  for (let start = offsetBytes + 1; start + FRAME_HEADER_BYTES < bytes.length; start += 1) {
    if (decodeFrame(bytes, start)) return true;
  }
  return false;
}

/**
 * Decodes all records. Each frame holds the records of one batch, which was synced before the next
 * batch was written. A torn last frame is therefore ignored, and an invalid frame that is followed
 * by a valid one is corruption and throws an error.
 *
 * @example
 * decodeLog(encodeFrame(encodeRecords([record]))).records.length; // 1
 */
export function decodeLog(bytes: Buffer): WalContents {
  const records: WalRecord[] = [];
  let offsetBytes = 0;
  while (offsetBytes < bytes.length) {
    const payload = decodeFrame(bytes, offsetBytes);
    if (!payload) {
      if (hasFrameAfter(bytes, offsetBytes)) {
        throw new EgretError(
          ErrorKind.DataCorrupt,
          `The write-ahead log is corrupt at byte ${offsetBytes}; valid records follow.`,
        );
      }
      break;
    }
    records.push(...(codec.unpackMultiple(payload) as WalRecord[]));
    offsetBytes += FRAME_HEADER_BYTES + payload.length;
  }
  return { records, validBytes: offsetBytes };
}
