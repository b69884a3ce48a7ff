import http from 'node:http';
import { API_PREFIX } from '../src/common/Constants.js';
import type { BackendLifecycleState } from '../src/common/Enums.js';
import type { AnnouncementAnswer } from '../src/entry/Types.js';

/** Address of an entry host. */
export interface EntryAddress {
  readonly address: string;
  readonly port: number;
}

/** State of a backend server that its announcements report. */
export interface BackendDescription {
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly incarnation: number;
  readonly state: BackendLifecycleState;
  readonly slots: number;
  readonly inFlight: number;
}

/** Options of an {@link Announcer}. */
export interface AnnouncerOptions {
  readonly token: string;
  /** Entry hosts to contact first, and to fall back on. */
  readonly seeds: readonly EntryAddress[];
  /** Returns the current state, before each announcement. */
  readonly describeBackend: () => BackendDescription;
}

/** Entry host that accepted the most recent announcements. */
interface Leaseholder extends EntryAddress {
  readonly entryHostId: string;
  stamp: string;
  sentAtMs: number;
}

const RETRY_MS = 100;
const UNREACHABLE_TTL_MS = 5_000;
const TIMEOUT_MS = 500;
const DEFAULT_INTERVAL_MS = 1_000;
const OK_STATUS = 200;

/** Announces a stand-in backend server as docs/INTERFACES.md specifies. */
export class Announcer {
  /** Number of announcements sent; benchmarks report it as the cost of announcing. */
  sentCount = 0;

  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 2 });

  private sequence = 0;

  private seedIndex: number;

  private target: EntryAddress;

  private leaseholder: Leaseholder | null = null;

  /** Addresses of entry hosts that did not answer, with the time when their entry expires. */
  private readonly unreachable = new Map<string, number>();

  private timer: NodeJS.Timeout | undefined;

  private readonly startedAtMs = performance.now();

  private stopped = false;

  constructor(private readonly options: AnnouncerOptions) {
    const { port } = options.describeBackend();
    this.seedIndex = port % options.seeds.length;
    this.target = options.seeds[this.seedIndex]!;
    this.schedule(0);
  }

  /** Announces at once, as a change of state requires. */
  announceNow(): void {
    clearTimeout(this.timer);
    this.announce();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    this.agent.destroy();
  }

  private schedule(delayMs: number): void {
    if (this.stopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.announce(), delayMs);
  }

  private isLeaseholder(target: EntryAddress): boolean {
    return this.leaseholder?.address === target.address && this.leaseholder.port === target.port;
  }

  private announce(): void {
    if (this.stopped) return;
    const { target, leaseholder } = this;
    const { inFlight, ...description } = this.options.describeBackend();
    const nowMs = performance.now();
    const toLeaseholder = this.isLeaseholder(target);
    const body = JSON.stringify({
      ...description,
      sequence: this.sequence,
      connections: inFlight,
      load: { inFlight },
      upForMs: nowMs - this.startedAtMs,
      unreachable: this.unreachableAddresses(nowMs),
      leaseStamp: toLeaseholder ? leaseholder!.stamp : null,
      previous:
        leaseholder && !toLeaseholder
          ? { entryHostId: leaseholder.entryHostId, sinceMs: nowMs - leaseholder.sentAtMs }
          : null,
    });
    this.sequence += 1;
    this.sentCount += 1;
    if (toLeaseholder) leaseholder!.sentAtMs = nowMs;
    this.post(target, body, nowMs);
  }

  private post(target: EntryAddress, body: string, sentAtMs: number): void {
    const request = http.request({
      host: target.address,
      port: target.port,
      method: 'POST',
      path: `${API_PREFIX}/announcements`,
      agent: this.agent,
      timeout: TIMEOUT_MS,
      headers: {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(body),
        Authorization: `Bearer ${this.options.token}`,
      },
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => {
      const key = `${target.address}:${target.port}`;
      this.unreachable.set(key, performance.now() + UNREACHABLE_TTL_MS);
      this.tryNextSeed();
    });
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => {
        if (response.statusCode === OK_STATUS) {
          const text = Buffer.concat(chunks).toString('utf8');
          this.onAnswer(target, JSON.parse(text) as AnnouncementAnswer, sentAtMs);
        } else this.tryNextSeed();
      });
    });
    request.end(body);
  }

  private onAnswer(target: EntryAddress, answer: AnnouncementAnswer, sentAtMs: number): void {
    const { announceTo } = answer;
    const accepted = announceTo.address === target.address && announceTo.port === target.port;
    if (!accepted) {
      this.target = announceTo;
      this.schedule(answer.intervalMs);
      return;
    }
    const isNewLeaseholder = !this.isLeaseholder(target);
    const { entryHostId, leaseStamp: stamp } = answer;
    this.leaseholder = { ...target, entryHostId, stamp, sentAtMs };
    // The stamp of the first answer is sent back at once, because the lease starts only then.
    this.schedule(isNewLeaseholder ? 0 : answer.intervalMs || DEFAULT_INTERVAL_MS);
  }

  private unreachableAddresses(nowMs: number): string[] {
    this.unreachable.forEach((untilMs, key) => {
      if (untilMs <= nowMs) this.unreachable.delete(key);
    });
    return [...this.unreachable.keys()];
  }

  private tryNextSeed(): void {
    if (this.stopped) return;
    const { seeds } = this.options;
    this.seedIndex = (this.seedIndex + 1) % seeds.length;
    this.target = seeds[this.seedIndex]!;
    this.schedule(RETRY_MS);
  }
}
