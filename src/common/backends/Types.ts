/** What a backend server says of itself. */
export enum BackendState {
  Ready = 'ready',
  /** Serves what it has and takes nothing new. */
  Draining = 'draining',
  /** Has said goodbye. */
  Gone = 'gone',
}

/** Newest announcement of one backend server, as control and entry hosts share it. */
export interface BackendRecord {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly state: BackendState;
  /** Unix time of the process start; tells incarnations under one id apart. */
  readonly bornMs: number;
  /** Rises with each announcement of one incarnation. */
  readonly sequence: number;
  /** How much longer the backend server was cold when it announced itself. */
  readonly coldLeftMs: number;
}

/** Sequence of a goodbye: no announcement of the same incarnation comes after it. */
export const LAST_SEQUENCE = Number.MAX_SAFE_INTEGER;
