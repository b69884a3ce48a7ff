import { BackendState } from '../src/common/Enums.js';
import type { RandomSource } from '../src/common/Random.js';
import type { Announcement, AnnouncementAnswer } from '../src/entry/Types.js';
import type { Oracle } from './Oracle.js';
import type { Timeline } from './Timeline.js';

/** How a backend server ends a request. */
export enum RunEnd {
  Answered = 'answered',
  /** A server error, which is the backend server's own answer. */
  Failed = 'failed',
  Shed = 'shed',
  /** The connection ended before the answer. */
  Reset = 'reset',
  /** The connection ended inside the answer. */
  Cut = 'cut',
}

/** Request as a backend server receives it. */
export interface BackendRequest {
  readonly requestId: string;
  readonly key: string | null;
  readonly kills: boolean;
  /** Called once with the end of the request. */
  readonly onEnd: (end: RunEnd) => void;
}

/** Surroundings of a {@link BackendHost}. */
export interface BackendHostOptions {
  readonly id: string;
  readonly port: number;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly timeline: Timeline;
  readonly random: RandomSource;
  readonly oracle: Oracle;
  /** Requests to complete before one more may run at once. */
  readonly coldRequests: number;
  readonly entryIds: readonly string[];
  /** Closes the connections that entry hosts have open. */
  readonly onCrash: () => void;
  /** Sends an announcement; the answer is null if none came. */
  readonly announce: (
    entryId: string,
    announcement: Announcement,
    onAnswer: (answer: AnnouncementAnswer | null) => void,
  ) => void;
}

/** Running request. */
interface Run {
  readonly request: BackendRequest;
  ended: boolean;
}

const ADDRESS = 'backend';
const RETRY_MS = 100;
const AVOID_MS = 5_000;
const MS_PER_SECOND = 1_000;
const MAX_SERVICE_MS = 20;

/** Model of a backend server: announces itself, runs requests, misbehaves on command. */
export class BackendHost {
  alive = true;

  state = BackendState.Ready;

  incarnation = 1;

  sheds = false;

  cuts = false;

  /** Answers every request at once with a server error. */
  failsFast = false;

  /** Requests received. */
  requests = 0;

  /** Answered announcements of this incarnation. */
  accepted = 0;

  private readonly running = new Set<Run>();

  private completed: number;

  private sequence = 0;

  private targetId: string;

  private holder: { entryId: string; stamp: string; sentAtMs: number } | null = null;

  private startedAtMs = 0;

  /** Entry hosts that did not answer, with the time until which they are avoided. */
  private readonly unreachable = new Map<string, number>();

  private run = 1;

  constructor(readonly options: BackendHostOptions) {
    this.completed = Number.MAX_SAFE_INTEGER;
    this.targetId = this.pickEntry();
    this.announce(this.run);
  }

  get backendId(): string {
    return `${ADDRESS}:${this.options.port}`;
  }

  get upForSeconds(): number {
    return (this.options.timeline.nowMs - this.startedAtMs) / MS_PER_SECOND;
  }

  get bears(): number {
    const { slots, coldRequests } = this.options;
    return Math.min(slots, 1 + Math.floor(this.completed / coldRequests));
  }

  crash(): void {
    this.alive = false;
    this.options.onCrash();
    this.run += 1;
    [...this.running].forEach((item) => this.end(item, RunEnd.Reset));
  }

  /** Starts again, cold, as a new incarnation. */
  restart(): void {
    if (this.alive) this.crash();
    this.alive = true;
    this.incarnation += 1;
    this.state = BackendState.Ready;
    this.completed = 0;
    this.sequence = 0;
    this.accepted = 0;
    this.holder = null;
    this.startedAtMs = this.options.timeline.nowMs;
    this.targetId = this.pickEntry();
    this.options.oracle.onStartedAgain(this.backendId);
    this.announce(this.run);
  }

  drain(): void {
    if (!this.alive || this.state === BackendState.Draining) return;
    this.state = BackendState.Draining;
    this.options.oracle.onLeaving(this.backendId, this.options.timeline.nowMs);
  }

  /** Receives a request; returns what cancels it. */
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
    const item: Run = { request, ended: false };
    this.running.add(item);
    oracle.onRun(request.requestId, request.key);
    const load = { inFlight: this.running.size, slots, bears: this.bears };
    oracle.onArrival(this.backendId, zone, load, timeline.nowMs);
    if (request.kills) {
      oracle.onKilled(timeline.nowMs);
      this.crash();
      return () => {};
    }
    timeline.after(random.next() * MAX_SERVICE_MS, () =>
      this.end(item, this.cuts ? RunEnd.Cut : RunEnd.Answered),
    );
    return () => this.end(item, RunEnd.Reset);
  }

  private end(item: Run, how: RunEnd): void {
    if (item.ended) return;
    item.ended = true;
    this.running.delete(item);
    this.completed += 1;
    item.request.onEnd(how);
  }

  private pickEntry(): string {
    const { entryIds, random } = this.options;
    return entryIds[Math.floor(random.next() * entryIds.length)]!;
  }

  private announce(run: number): void {
    if (run !== this.run || !this.alive) return;
    const { timeline, service, zone, slots, port } = this.options;
    const { targetId, holder } = this;
    const toHolder = holder?.entryId === targetId;
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
      upForMs: sentAtMs - this.startedAtMs,
      unreachable: [...this.unreachable]
        .filter(([, untilMs]) => untilMs > sentAtMs)
        .map(([key]) => key),
      leaseStamp: toHolder ? holder.stamp : null,
      previous:
        holder && !toHolder
          ? { entryHostId: holder.entryId, sinceMs: sentAtMs - holder.sentAtMs }
          : null,
    };
    this.sequence += 1;
    if (toHolder) holder.sentAtMs = sentAtMs;
    this.options.announce(targetId, announcement, (answer) => {
      if (run === this.run) this.onAnswer(run, targetId, answer, sentAtMs);
    });
  }

  private onAnswer(
    run: number,
    targetId: string,
    answer: AnnouncementAnswer | null,
    sentAtMs: number,
  ): void {
    const { timeline } = this.options;
    if (!answer) {
      this.unreachable.set(`${targetId}:1`, timeline.nowMs + AVOID_MS);
      this.targetId = this.pickEntry();
      timeline.after(RETRY_MS, () => this.announce(run));
      return;
    }
    this.accepted += 1;
    const to = answer.announceTo.address;
    if (to !== targetId) {
      this.targetId = to;
      timeline.after(answer.intervalMs, () => this.announce(run));
      return;
    }
    const fresh = this.holder?.entryId !== targetId;
    this.holder = { entryId: targetId, stamp: answer.leaseStamp, sentAtMs };
    timeline.after(fresh ? 0 : answer.intervalMs, () => this.announce(run));
  }
}
