/** State that a backend server of routed services announces. */
export enum BackendState {
  Ready = 'ready',
  /** Finishes its running calls and accepts no new ones. */
  Draining = 'draining',
  /** Has announced its departure. */
  Gone = 'gone',
}

/** Newest announcement of a backend server, as exchanged by control and entry hosts. */
export interface BackendRecord {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly state: BackendState;
  /** Unix time of the process start; distinguishes incarnations with the same id. */
  readonly bornMs: number;
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number;
  /** Remaining cold time when the announcement was made. */
  readonly coldLeftMs: number;
  /** Version of its software; omitted if it announces none. */
  readonly version?: string;
}

/** Sequence of a departure: no announcement of the same incarnation is newer. */
export const DEPARTURE_SEQUENCE = Number.MAX_SAFE_INTEGER;
