/** Size of the first block; most bodies are small. */
const FIRST_BLOCK_BYTES = 1_024;

/** Largest block, as much as one read of a socket returns. */
const BLOCK_BYTES_MAX = 64 * 1_024;

/**
 * Collects the chunks of a body in blocks. A chunk that is kept costs some hundred bytes beside its
 * content and keeps the whole buffer that it was read into; a copy of its bytes costs only these.
 *
 * @example
 * const buffer = new BodyBuffer();
 * request.on('data', (chunk: Buffer) => buffer.append(chunk));
 * request.once('end', () => handle(buffer.take()));
 */
export class BodyBuffer {
  private blocks: Buffer[] = [];

  /** Bytes in use of the last block. */
  private usedBytes = 0;

  private totalBytes = 0;

  /** Number of bytes that were appended. */
  get length(): number {
    return this.totalBytes;
  }

  append(chunk: Buffer): void {
    if (chunk.length >= BLOCK_BYTES_MAX && chunk.length === chunk.buffer.byteLength) {
      this.adopt(chunk);
      return;
    }
    this.totalBytes += chunk.length;
    let copied = 0;
    while (copied < chunk.length) {
      const block = this.blockWithRoom(chunk.length - copied);
      const count = chunk.copy(block, this.usedBytes, copied);
      this.usedBytes += count;
      copied += count;
    }
  }

  /** Returns all bytes and leaves the buffer empty. */
  take(): Buffer {
    const blocks = this.takeBlocks();
    return blocks.length === 1 ? blocks[0]! : Buffer.concat(blocks);
  }

  /** Returns the blocks, without a copy, and leaves the buffer empty. */
  takeBlocks(): Buffer[] {
    this.trimLast();
    const { blocks } = this;
    this.blocks = [];
    this.usedBytes = 0;
    this.totalBytes = 0;
    return blocks;
  }

  /** Keeps a chunk that fills the buffer it was read into as a block of its own. */
  private adopt(chunk: Buffer): void {
    this.trimLast();
    this.blocks.push(chunk);
    this.usedBytes = chunk.length;
    this.totalBytes += chunk.length;
  }

  /** Ends the last block at the bytes in use. */
  private trimLast(): void {
    const last = this.blocks.pop();
    if (last) this.blocks.push(last.subarray(0, this.usedBytes));
  }

  private blockWithRoom(neededBytes: number): Buffer {
    const last = this.blocks.at(-1);
    if (last && this.usedBytes < last.length) return last;
    const doubled = last ? last.length * 2 : FIRST_BLOCK_BYTES;
    const size = Math.min(BLOCK_BYTES_MAX, Math.max(doubled, neededBytes));
    const block = Buffer.allocUnsafeSlow(size);
    this.blocks.push(block);
    this.usedBytes = 0;
    return block;
  }
}
