import type { RandomSource } from '../src/common/Random.js';
import type { SoakClients } from './Clients.js';
import type { SoakDeployment } from './Deployment.js';
import type { SoakOperator } from './Operator.js';

/** What happened to a request that a client sent. */
export interface SentRequest {
  readonly id: string;
  /** Machine whose gateway took it. */
  readonly machine: string;
  readonly method: string;
  /** True if its connection had carried a request before. */
  readonly kept: boolean;
  /** True if it was sent behind another on its connection, before that was answered. */
  readonly behind: boolean;
  /** Times in milliseconds since the start of the run; the request was sent as a whole. */
  readonly sentMs: number;
  readonly endedMs: number;
  /** Status of the answer; 0 if the connection ended without a complete one. */
  readonly status: number;
  /** True for a success that is not the backend server's whole answer to this request. */
  readonly foreign: boolean;
  readonly error?: string;
}

/** Start of a request at a backend server. */
export interface Run {
  readonly id: string;
  readonly backend: string;
  readonly atMs: number;
  /** False if the backend server spoiled or withheld its answer. */
  readonly sound: boolean;
}

/** Program of a machine. */
export enum SoakRole {
  Control = 'control',
  Gateway = 'gateway',
}

/** What the harness does to the processes of a machine. */
export enum DisturbanceKind {
  Terminate = 'terminate',
  Kill = 'kill',
  Pause = 'pause',
  Reload = 'reload',
}

/** Time in which the harness disturbed a machine. */
export interface Disturbance {
  readonly machine: string;
  readonly kind: DisturbanceKind;
  readonly fromMs: number;
  /** End of the disturbance; of a stop, the time at which the processes have ended. */
  toMs: number;
}

/** Process that ended, or did not become ready, without being told to. */
export interface OwnEnd {
  readonly machine: string;
  readonly role: SoakRole;
  readonly atMs: number;
  readonly detail: string;
}

/** Time in which the harness itself did not run, so that what it measured then is late. */
export interface HarnessPause {
  readonly fromMs: number;
  readonly toMs: number;
}

/** All that a run has recorded. */
export interface SoakRecord {
  readonly requests: SentRequest[];
  readonly runs: Run[];
  readonly disturbances: Disturbance[];
  readonly ownEnds: OwnEnd[];
  /** Omitted where the harness is not watched. */
  readonly harnessPauses?: HarnessPause[];
}

/** What causes act on. */
export interface SoakWorld {
  readonly deployment: SoakDeployment;
  readonly clients: SoakClients;
  readonly operator: SoakOperator;
  readonly random: RandomSource;
  readonly log: (line: string) => void;
}
