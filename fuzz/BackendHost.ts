import { BackendLifecycleState } from '../src/common/Enums.js';
import type { RandomSource } from '../src/common/Random.js';
import type { Announcement, AnnouncementAnswer } from '../src/entry/Types.js';
import type { Oracle } from './Oracle.js';
import type { Timeline } from './Timeline.js';

/** How a request at a backend server ends. */
export enum RunEnd {
  Answered = 'answered',
  /** The backend server answered with a server error. */
  Failed = 'failed',
  Shed = 'shed',
  /** The connection ended before the answer. */
  Reset = 'reset',
  /** The connection ended inside the answer. */
  Truncated = 'truncated',
}

/** Request as a backend server receives it. */
export interface BackendRequest {
  readonly requestId: string;
  readonly key: string | null;
  readonly crashesBackend: boolean;
  /** Called once when the request has ended. */
  readonly onEnd: (runEnd: RunEnd) => void;
}

/** Options of a {@link BackendHost}. */
export interface BackendHostOptions {
  readonly id: string;
  readonly port: number;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly timeline: Timeline;
  readonly random: RandomSource;
  readonly oracle: Oracle;
  /** Completed requests after which a cold server may run one more request at once. */
  readonly coldRequests: number;
  readonly entryIds: readonly string[];
  /** Closes the connections of all entry hosts to the backend server. */
  readonly onCrash: () => void;
  /** Sends an announcement; `onAnswer` receives null if there was no answer. */
  readonly announce: (
    entryId: string,
    announcement: Announcement,
    onAnswer: (answer: AnnouncementAnswer | null) => void,
  ) => void;
}

interface RunningRequest {
  readonly request: BackendRequest;
  ended: boolean;
}

const ADDRESS = 'backend';
const RETRY_MS = 100;
const UNREACHABLE_TTL_MS = 5_000;
const MS_PER_SECOND = 1_000;
const MAX_SERVICE_MS = 20;

/** Duration of a restart; longer than a message takes, as the start of a process is. */
const RESTART_MS = 25;

/** Model of a backend server that announces itself, runs requests and simulates faults. */
export class BackendHost {
  alive = true;

  state = BackendLifecycleState.Ready;

  incarnation = 1;

  sheds = false;

  truncatesAnswers = false;

  /** Answers every request at once with a server error. */
  failsFast = false;

  /** Announced limit of requests from all entry hosts together. */
  requestsPerSecond: number | null = null;

  /** Requests received. */
  requests = 0;

  /** Answered announcements of this incarnation. */
  answeredAnnouncements = 0;

  private readonly running = new Set<RunningRequest>();

  private completed: number;

  private sequence = 0;

  private targetId: string;

  private leaseholder: { entryId: string; stamp: string; sentAtMs: number } | null = null;

  private startedAtMs = 0;

  /** Addresses of entry hosts that did not answer, with the time when their entry expires. */
  private readonly unreachable = new Map<string, number>();

  /** Incremented at every crash, so that pending actions from before it are dropped. */
  private epoch = 1;

  constructor(readonly options: BackendHostOptions) {
    this.completed = Number.MAX_SAFE_INTEGER;
    this.targetId = this.pickEntry();
    this.announce(this.epoch);
  }

  get backendId(): string {
    return `${ADDRESS}:${this.options.port}`;
  }

  get upForSeconds(): number {
    return (this.options.timeline.nowMs - this.startedAtMs) / MS_PER_SECOND;
  }

  get concurrencyLimit(): number {
    const { slots, coldRequests } = this.options;
    return Math.min(slots, 1 + Math.floor(this.completed / coldRequests));
  }

  crash(): void {
    this.alive = false;
    this.options.onCrash();
    this.epoch += 1;
    [...this.running].forEach((item) => this.end(item, RunEnd.Reset));
  }

  /** Restarts cold, as a new incarnation; the address refuses connections in between. */
  restart(): void {
    if (this.alive) this.crash();
    this.epoch += 1;
    const { epoch } = this;
    this.options.timeline.after(RESTART_MS, () => {
      if (epoch === this.epoch) this.start();
    });
  }

  private start(): void {
    this.alive = true;
    this.incarnation += 1;
    this.state = BackendLifecycleState.Ready;
    this.completed = 0;
    this.sequence = 0;
    this.answeredAnnouncements = 0;
    this.leaseholder = null;
    this.startedAtMs = this.options.timeline.nowMs;
    this.targetId = this.pickEntry();
    this.options.oracle.onRestarted(this.backendId);
    this.announce(this.epoch);
  }

  drain(): void {
    if (!this.alive || this.state === BackendLifecycleState.Draining) return;
    this.state = BackendLifecycleState.Draining;
    this.options.oracle.onDeparture(this.backendId, this.options.timeline.nowMs);
  }

  /** Receives a request; returns a function that cancels it. */
  receive(request: BackendRequest): () => void {
    const { timeline, random, oracle, zone, slots } = this.options;
    this.requests += 1;
    if (this.failsFast) {
      request.onEnd(RunEnd.Failed);
      return () => {};
    }
    if (this.sheds) {
      request.onEnd(RunEnd.Shed);
      return () => {};
    }
    const item: RunningRequest = { request, ended: false };
    this.running.add(item);
    oracle.onRun(request.requestId, request.key);
    const load = { inFlight: this.running.size, slots, limit: this.concurrencyLimit };
    oracle.onArrival(this.backendId, zone, load, timeline.nowMs);
    if (request.crashesBackend) {
      oracle.onCrashedByRequest(timeline.nowMs);
      this.crash();
      return () => {};
    }
    timeline.after(random.next() * MAX_SERVICE_MS, () =>
      this.end(item, this.truncatesAnswers ? RunEnd.Truncated : RunEnd.Answered),
    );
    return () => this.end(item, RunEnd.Reset);
  }

  private end(item: RunningRequest, runEnd: RunEnd): void {
    if (item.ended) return;
    item.ended = true;
    this.running.delete(item);
    this.completed += 1;
    item.request.onEnd(runEnd);
  }

  private pickEntry(): string {
    const { entryIds, random } = this.options;
    return entryIds[Math.floor(random.next() * entryIds.length)]!;
  }

  private announce(epoch: number): void {
    if (epoch !== this.epoch || !this.alive) return;
    const { timeline, service, zone, slots, port } = this.options;
    const { targetId, leaseholder } = this;
    const toLeaseholder = leaseholder?.entryId === targetId;
    const sentAtMs = timeline.nowMs;
    const announcement: Announcement = {
      service,
      address: ADDRESS,
      port,
      availabilityZone: zone,
      incarnation: this.incarnation,
      sequence: this.sequence,
      state: this.state,
      slots,
      connections: this.running.size,
      load: { inFlight: this.running.size },
      requestsPerSecond: this.requestsPerSecond,
      upForMs: sentAtMs - this.startedAtMs,
      unreachable: [...this.unreachable]
        .filter(([, untilMs]) => untilMs > sentAtMs)
        .map(([key]) => key),
      leaseStamp: toLeaseholder ? leaseholder.stamp : null,
      previous:
        leaseholder && !toLeaseholder
          ? { entryHostId: leaseholder.entryId, sinceMs: sentAtMs - leaseholder.sentAtMs }
          : null,
    };
    this.sequence += 1;
    if (toLeaseholder) leaseholder.sentAtMs = sentAtMs;
    this.options.announce(targetId, announcement, (answer) => {
      if (epoch === this.epoch) this.onAnswer(epoch, targetId, answer, sentAtMs);
    });
  }

  private onAnswer(
    epoch: number,
    targetId: string,
    answer: AnnouncementAnswer | null,
    sentAtMs: number,
  ): void {
    const { timeline } = this.options;
    if (!answer) {
      this.unreachable.set(`${targetId}:1`, timeline.nowMs + UNREACHABLE_TTL_MS);
      this.targetId = this.pickEntry();
      timeline.after(RETRY_MS, () => this.announce(epoch));
      return;
    }
    this.answeredAnnouncements += 1;
    const to = answer.announceTo.address;
    if (to !== targetId) {
      this.targetId = to;
      timeline.after(answer.intervalMs, () => this.announce(epoch));
      return;
    }
    const isNewLeaseholder = this.leaseholder?.entryId !== targetId;
    this.leaseholder = { entryId: targetId, stamp: answer.leaseStamp, sentAtMs };
    timeline.after(isNewLeaseholder ? 0 : answer.intervalMs, () => this.announce(epoch));
  }
}
