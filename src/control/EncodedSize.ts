import { Packr } from 'msgpackr';

const codec = new Packr({ useRecords: false });

/**
 * Size of a value in a message between processes or in a file, in bytes.
 *
 * @example
 * encodedBytes({ type: 'noop' }); // 11
 */
export function encodedBytes(value: unknown): number {
  return codec.pack(value).length;
}
