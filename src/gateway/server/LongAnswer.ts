import type { ServerResponse } from 'node:http';
import { BodyBuffer } from '../../runtime/BodyBuffer.js';
import type { FaultBoundary } from '../../runtime/FaultBoundary.js';
import type { LongBody } from '../Types.js';
import type { HeldBytes, HeldShare } from './HeldBytes.js';

/**
 * Bytes of one answer that may wait for its caller past its time limit: several times the largest
 * usual downloads (0.5 MB), and few enough that an answer without end soon breaks off.
 */
const OVERDUE_BYTES_MAX = 4 * 1024 * 1024;

/** Options of a {@link LongAnswer}. */
export interface LongAnswerOptions {
  readonly response: ServerResponse;
  readonly longBody: LongBody;
  readonly held: HeldBytes;
  /** Called with the number of bytes that are held, and with less than 0 for their end. */
  readonly noteKept: (bytes: number) => void;
  /** True if the answer is held until it is complete, or until too many bytes are held. */
  readonly isHeld: boolean;
  /** False if nothing but a length would show the caller where the answer ends; it then breaks off. */
  readonly mayBeStreamed: boolean;
  /** Writes the head; with the length of the body once all of it is there. */
  readonly writeHead: (bodyBytes?: number) => void;
  /** Ends the call if a listener of the answer throws. */
  readonly boundary: FaultBoundary;
  /** Called if the answer ends early; the head may have been written. */
  readonly onBroken: () => void;
}

function totalBytes(chunks: readonly Buffer[]): number {
  return chunks.reduce((sum, { length }) => sum + length, 0);
}

enum State {
  Held = 'held',
  Streamed = 'streamed',
  Ended = 'ended',
}

/** Answer whose body is too long to buffer, on its way to the caller. */
export class LongAnswer {
  private state = State.Held;

  private buffer = new BodyBuffer();

  /** True while the reader is to pause; it then reads on only past the time limit. */
  private mustPause = false;

  private readonly share: HeldShare;

  constructor(private readonly options: LongAnswerOptions) {
    this.share = options.held.open();
  }

  /** Begins to read the body. */
  start(): void {
    const { longBody, response, boundary } = this.options;
    response.on('drain', () => {
      this.mustPause = false;
      this.share.release();
      longBody.resume();
    });
    longBody.read({
      onData: (chunks) => boundary.run(() => this.onData(chunks)) ?? true,
      onEnd: boundary.wrap(() => this.onEnd()),
      onBroken: boundary.wrap(() => this.onBroken()),
    });
  }

  /** Drops the answer: its call has ended otherwise, or its connection has closed. */
  cancel(): void {
    this.share.release();
    if (this.state === State.Ended) return;
    this.finish();
    this.options.longBody.cancel();
  }

  private onData(chunks: readonly Buffer[]): boolean {
    const { held, response, isHeld, mayBeStreamed } = this.options;
    switch (this.state) {
      case State.Held:
        this.keep(chunks);
        if (isHeld && !held.isFull) return true;
        if (mayBeStreamed) {
          this.stream();
          this.mustPause = response.writableNeedDrain;
          return !this.mustPause;
        }
        this.breakOff();
        return true;
      case State.Streamed:
        return this.write(chunks);
      default:
        return true;
    }
  }

  private onEnd(): void {
    const { response, writeHead } = this.options;
    if (this.state === State.Held) {
      writeHead(this.buffer.length);
      this.writeHeld();
    }
    if (this.state !== State.Ended) response.end();
    this.finish();
  }

  private onBroken(): void {
    if (this.state === State.Ended) return;
    this.finish();
    this.share.release();
    this.options.onBroken();
  }

  private breakOff(): void {
    this.options.longBody.cancel();
    this.onBroken();
  }

  private keep(chunks: readonly Buffer[]): void {
    const bytes = totalBytes(chunks);
    chunks.forEach((chunk) => this.buffer.append(chunk));
    this.share.add(bytes);
    this.options.noteKept(bytes);
  }

  private stream(): void {
    const { response, writeHead } = this.options;
    writeHead();
    this.state = State.Streamed;
    this.writeHeld();
    if (!response.writableNeedDrain) this.share.release();
  }

  private writeHeld(): void {
    const { response, noteKept } = this.options;
    noteKept(-this.buffer.length);
    this.buffer.takeBlocks().forEach((block) => response.write(block));
  }

  private write(chunks: readonly Buffer[]): boolean {
    const { response, held } = this.options;
    const bytes = totalBytes(chunks);
    // Past the time limit the rest arrives faster than the caller may read it.
    if (this.mustPause) {
      this.share.add(bytes);
      if (held.isFull || this.share.bytes > OVERDUE_BYTES_MAX) {
        this.breakOff();
        return true;
      }
    }
    chunks.forEach((chunk) => response.write(chunk));
    this.mustPause = response.writableNeedDrain;
    return !this.mustPause;
  }

  private finish(): void {
    this.state = State.Ended;
    this.options.noteKept(-this.buffer.length);
    this.buffer = new BodyBuffer();
  }
}
