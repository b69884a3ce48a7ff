import { createHash } from 'node:crypto';

/** Large document with a strong entity tag. */
export interface Bundle {
  readonly bytes: Buffer;
  readonly etag: string;
  readonly sha256: string;
}

const BLOCK_BYTES = 4096;

/** Creates the same bytes for the same name on every backend server. */
export function createBundle(name: string, sizeBytes: number): Bundle {
  const bytes = Buffer.alloc(sizeBytes);
  for (let offset = 0; offset < sizeBytes; offset += BLOCK_BYTES) {
    const block = createHash('sha256').update(`${name}:${offset}`).digest();
    bytes.fill(block, offset, Math.min(sizeBytes, offset + BLOCK_BYTES));
  }
  const sha256 = createHash('sha256').update(bytes).digest('hex');
  return { bytes, etag: `"${sha256.slice(0, 16)}"`, sha256 };
}
