import { BackendState, DEPARTURE_SEQUENCE, type BackendRecord } from './Types.js';

/** Largest port number (RFC 6335). */
const PORT_MAX = 65_535;

/** Largest number of slots of one backend server, as in the announcements of entry hosts. */
const SLOTS_MAX = 1_024;

/** Longest cold time; an hour is far above any that is announced, and no timer overflows. */
const COLD_LEFT_MAX_MS = 3_600_000;

/** Longest id, name or address in a record. */
const TEXT_MAX_LENGTH = 253;

/** Characters of a header's value (RFC 9110, section 5.5): requests carry the id in a header. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Characters of a host name or an IP address. */
const HOST = /^[\w.:[\]-]+$/;

const STATES: readonly unknown[] = Object.values(BackendState);

function isText(value: unknown): boolean {
  return typeof value === 'string' && value.length > 0 && value.length <= TEXT_MAX_LENGTH;
}

function isIntegerWithin(value: unknown, min: number, max: number): boolean {
  return Number.isSafeInteger(value) && (value as number) >= min && (value as number) <= max;
}

function isSequence(value: unknown, state: unknown): boolean {
  // No announcement may be as new as a departure, which could not be recorded any more.
  const max = state === BackendState.Gone ? DEPARTURE_SEQUENCE : DEPARTURE_SEQUENCE - 1;
  return isIntegerWithin(value, 0, max);
}

/** Checks by field; a record must pass all of them. */
const CHECKS: Readonly<
  Record<keyof BackendRecord, (value: unknown, record: Partial<BackendRecord>) => boolean>
> = {
  id: (value) => isText(value) && HEADER_VALUE.test(value as string),
  service: isText,
  address: (value) => isText(value) && HOST.test(value as string),
  port: (value) => isIntegerWithin(value, 1, PORT_MAX),
  availabilityZone: isText,
  slots: (value) => isIntegerWithin(value, 1, SLOTS_MAX),
  state: (value) => STATES.includes(value),
  bornMs: (value) => isIntegerWithin(value, 0, Number.MAX_SAFE_INTEGER),
  sequence: (value, { state }) => isSequence(value, state),
  coldLeftMs: (value) => typeof value === 'number' && value >= 0 && value <= COLD_LEFT_MAX_MS,
  version: (value) => value === undefined || typeof value === 'string',
};

/**
 * Returns the first field of a backend server's record that no reader can use, or undefined for a
 * sound record. Every process that reads records checks them: another writer, or another version of
 * this one, may have let them in, and one odd record must not cost the others.
 *
 * @example
 * findRecordFault({ ...record, port: 70_000 }); // 'port'
 */
export function findRecordFault(record: unknown): string | undefined {
  if (typeof record !== 'object' || record === null) return '(record)';
  const fields = record as Partial<BackendRecord>;
  return Object.entries(CHECKS).find(
    ([field, isSound]) => !isSound(fields[field as keyof BackendRecord], fields),
  )?.[0];
}
