/** Upper bound of the relative clock rate drift between two hosts. */
export const MAX_CLOCK_DRIFT_RATIO = 0.01;

/** Prefix of every path that the system serves itself. */
export const API_PREFIX = '/egret/v1';

/**
 * Version of the protocol between the system's own processes; a process sends no message that the
 * version at the other end does not know. Version 2 adds renewals of backend servers,
 * version 3 the usage of customers, version 4 the progress of the routing at the gateways; from version
 * 5 on, observers hold no announcements.
 */
export const PROTOCOL_VERSION = 5;

/** Largest message between the system's own processes. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Largest JSON body that an administration or announcement endpoint reads. */
export const MAX_JSON_BODY_BYTES = 256 * 1024;

/** Largest header block that a listener accepts. */
export const MAX_HEADER_BYTES = 16 * 1024;

/** Largest answer body recorded for a replay; larger answers cannot be replayed. */
export const MAX_RECORDED_BODY_BYTES = 64 * 1024;

/** Maximum lead of an idempotency key's timestamp over the control leader's clock. */
export const MAX_KEY_FUTURE_MS = 5 * 60 * 1000;

/** Maximum attempts of a call; a non-idempotent call is retried only if proven not run. */
export const MAX_ATTEMPTS = 4;

/** Distinct crashes of backend servers after which a call is quarantined. */
export const QUARANTINE_CRASH_THRESHOLD = 2;

/** Retention period of a quarantined fingerprint. */
export const QUARANTINE_MS = 10 * 60 * 1000;

/** Maximum number of fingerprints in the quarantine; the oldest is removed for a new one. */
export const QUARANTINE_CAPACITY = 10_000;

/** Interval between the heartbeats of an entry host of routed services. */
export const ENTRY_HEARTBEAT_INTERVAL_MS = 200;

/** An entry host of routed services leaves the directory after three missed heartbeats. */
export const ENTRY_HEARTBEAT_TIMEOUT_MS = 650;

/** Header names of the system, in the lower case of Node's parser. */
export enum HeaderName {
  Outcome = 'egret-outcome',
  RequestId = 'egret-request-id',
  TimeoutMs = 'egret-timeout-ms',
  Attempt = 'egret-attempt',
  Replayed = 'egret-replayed',
  Caller = 'egret-caller',
  Peer = 'egret-peer',
  IdempotencyKey = 'idempotency-key',
}
