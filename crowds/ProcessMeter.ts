import { readdirSync, readFileSync } from 'node:fs';
import type { ProcessUse } from './Types.js';

const KILOBYTES_PER_MB = 1_024;

const SAMPLE_EVERY_MS = 50;

function readUse(processId: number): ProcessUse {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const read = (name: string) =>
    Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / KILOBYTES_PER_MB;
  return {
    peakMemoryMb: read('VmHWM'),
    memoryMb: read('VmRSS'),
    openFiles: readdirSync(`/proc/${processId}/fd`).length,
  };
}

/** Samples the memory and the open descriptors of a process. */
export class ProcessMeter {
  /** Largest values so far. */
  peak: ProcessUse = { peakMemoryMb: 0, memoryMb: 0, openFiles: 0 };

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly processId: number) {
    this.sample();
    this.timer = setInterval(() => this.sample(), SAMPLE_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    try {
      const now = readUse(this.processId);
      this.peak = {
        peakMemoryMb: Math.max(this.peak.peakMemoryMb, now.peakMemoryMb),
        memoryMb: Math.max(this.peak.memoryMb, now.memoryMb),
        openFiles: Math.max(this.peak.openFiles, now.openFiles),
      };
    } catch {
      // The process has ended; the deployment records that.
    }
  }
}
