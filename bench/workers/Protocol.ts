import type { Fault } from '../../standin/BackendStandin.js';
import type { EntryAddress } from '../../standin/Announcer.js';
import type { ServiceTimeOptions } from '../../standin/ServiceTime.js';
import type { SettingsTree } from '../../src/common/SettingsSchema.js';

/** Roles of a bench process. */
export enum WorkerRole {
  Control = 'control',
  Entries = 'entries',
  Backends = 'backends',
  Load = 'load',
}

/** Request to a bench process. */
export interface WorkerRequest {
  readonly id: number;
  readonly method: string;
  readonly params: unknown;
}

/** Answer of a bench process. */
export interface WorkerReply {
  readonly id: number;
  readonly result: unknown;
  readonly error: string | null;
}

/** Control host as bench processes address it. */
export interface BenchControlHost {
  readonly id: string;
  readonly address: string;
  readonly port: number;
}

export interface StartControlParams {
  readonly id: string;
  readonly port: number;
  readonly voters: readonly BenchControlHost[];
  readonly tree: SettingsTree;
  readonly dataFolder: string;
  readonly initialize: boolean;
}

export interface StartEntriesParams {
  readonly firstIndex: number;
  readonly count: number;
  readonly zones: readonly string[];
  readonly controlHosts: readonly BenchControlHost[];
  /** Ports for callers; fixed, so that a restarted host keeps its address. */
  readonly ports: readonly number[];
}

/** Backend server to be started. */
export interface BackendSpec {
  readonly service: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly serviceTime: ServiceTimeOptions;
  readonly coldRequests: number;
  readonly bundleBytes?: number;
  readonly announces: boolean;
}

export interface StartBackendsParams {
  readonly specs: readonly BackendSpec[];
  readonly seeds: readonly EntryAddress[];
}

export interface FaultParams {
  readonly indices: readonly number[];
  readonly fault: Fault;
}

/** Figures of one stand-in since the last reset. */
export interface BackendFigures {
  readonly service: string;
  readonly availabilityZone: string;
  readonly requests: number;
  readonly peakInFlight: number;
  readonly overSlots: number;
  readonly overCold: number;
  readonly announcements: number;
  /** Unix time of the last request. */
  readonly lastRequestWallMs: number;
}

/** Run of a request with an idempotency key at a stand-in. */
export interface KeyedRun {
  readonly key: string;
  /** Id of the sending, from the header `standin-sending`. */
  readonly sending: string;
}

/** One stream of calls. */
export interface LoadStream {
  readonly service: string;
  /** Calls per second, Poisson arrivals. */
  readonly ratePerSecond: number;
  readonly callerId: string;
}

export interface RunLoadParams {
  readonly streams: readonly LoadStream[];
  readonly durationMs: number;
  readonly seeds: readonly EntryAddress[];
  readonly zones: readonly string[];
  readonly asksByService: boolean;
  readonly seed: number;
  readonly path?: string;
  /** Address for calls that bypass the directory and have no service prefix. */
  readonly direct?: EntryAddress;
}

/** Result of one stream. */
export interface StreamResult {
  readonly service: string;
  readonly callerId: string;
  /** Latencies of complete answers, counted from the time at which each call was due. */
  readonly latenciesMs: readonly number[];
  readonly refusedNotRun: number;
  readonly failed: number;
  /** Number of failed calls by status and error kind. */
  readonly failures: Readonly<Record<string, number>>;
}

/** Processor time and memory of a bench process. */
export interface ProcessFigures {
  readonly cpuMs: number;
  /** Share of the time since the last reading that the event loop was busy. */
  readonly utilization: number;
  readonly rssBytes: number;
  readonly heapUsedBytes: number;
}
