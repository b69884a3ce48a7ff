import { DisturbanceKind, type SentRequest, type SoakRecord } from './Types.js';
import { GIVEN_UP } from './Http.js';

/** Time without a disturbance after which a machine is in touch (`contact_ms`). */
const CONTACT_MS = 3_000;

/** Time after a request's last byte in which its connection may cross a close (`loss_slack_ms`). */
const LOSS_SLACK_MS = 200;

/** Unanswered requests of kept connections that were passed on, at machines in touch. */
const LOST_MAX = 3;

/** Ends of processes by themselves: on a tenth of the machines, two at least, three times each. */
const OWN_ENDS_MAX = 2;

/** Broken rule of RULES.md, and what broke it. */
export interface Breach {
  readonly rule: string;
  readonly detail: string;
}

const UNPLANNED: ReadonlySet<DisturbanceKind> = new Set([
  DisturbanceKind.Kill,
  DisturbanceKind.Pause,
]);

/** True if no unplanned disturbance of the request's machine touches it. */
function isUndisturbed({ disturbances }: SoakRecord, request: SentRequest): boolean {
  return !disturbances.some(
    ({ machine, kind, fromMs, toMs }) =>
      machine === request.machine &&
      UNPLANNED.has(kind) &&
      fromMs <= request.endedMs &&
      toMs + CONTACT_MS >= request.sentMs,
  );
}

function isDuringStop({ disturbances }: SoakRecord, request: SentRequest): boolean {
  return disturbances.some(
    ({ machine, kind, fromMs, toMs }) =>
      machine === request.machine &&
      kind === DisturbanceKind.Terminate &&
      fromMs <= request.endedMs &&
      toMs >= request.sentMs,
  );
}

/** Part of a request's time in which the harness itself did not run. */
function harnessPausedMs(
  { harnessPauses = [] }: SoakRecord,
  { sentMs, endedMs }: SentRequest,
): number {
  return harnessPauses.reduce(
    (sum, { fromMs, toMs }) =>
      sum + Math.max(0, Math.min(toMs, endedMs) - Math.max(fromMs, sentMs)),
    0,
  );
}

function describe(record: SoakRecord, request: SentRequest): string {
  const { id, machine, method, kept, behind, sentMs, endedMs, status, error } = request;
  const times = `${Math.round(sentMs)}-${Math.round(endedMs)} ms`;
  const paused = `harness paused ${Math.round(harnessPausedMs(record, request))} ms`;
  const way = `${kept ? 'kept' : 'new'}${behind ? ', behind others' : ''}`;
  const what = `${id} ${method} (${way}) at ${machine}, ${times}, ${paused}`;
  return `${what}, status ${status} ${error ?? ''}`.trim();
}

/**
 * Rules of the users' pages that a record breaks, in their words' sense: FAULT, LOST, TWICE, REFUSED
 * and MIXED.
 *
 * @example
 * findBreaches(record).forEach(({ rule, detail }) => log(`${rule}: ${detail}`));
 */
export function findBreaches(record: SoakRecord): Breach[] {
  const runCounts = new Map<string, number>();
  record.runs.forEach(({ id }) => runCounts.set(id, (runCounts.get(id) ?? 0) + 1));
  const hasRun = ({ id }: SentRequest) => runCounts.has(id);
  const unanswered = record.requests.filter(
    (request) =>
      request.status === 0 && request.error !== GIVEN_UP && isUndisturbed(record, request),
  );
  const spoiled = new Set(record.runs.filter(({ sound }) => !sound).map(({ id }) => id));
  const passedOn = unanswered.filter((request) => hasRun(request) && !spoiled.has(request.id));
  const cut = unanswered.filter(
    (request) =>
      !hasRun(request) &&
      request.kept &&
      // "Not counted either: a request that was sent behind another on its connection and wasn't
      // passed on to a target."
      !request.behind &&
      request.endedMs - request.sentMs > LOSS_SLACK_MS &&
      isDuringStop(record, request),
  );
  const atStop = passedOn.filter((request) => isDuringStop(record, request));
  const lost = passedOn.length > LOST_MAX ? passedOn : atStop;
  const ends = new Map<string, number>();
  record.ownEnds.forEach(({ machine }) => ends.set(machine, (ends.get(machine) ?? 0) + 1));
  const repeated = record.ownEnds.length > OWN_ENDS_MAX || [...ends.values()].some((n) => n >= 3);
  const unsafe = record.requests.filter(({ method }) => method === 'POST');
  const breach = (rule: string) => (request: SentRequest) => ({
    rule,
    detail: describe(record, request),
  });
  return [
    ...(repeated
      ? record.ownEnds.map(({ machine, role, detail }) => ({
          rule: 'FAULT',
          detail: `${machine} ${role} ${detail}`,
        }))
      : []),
    ...lost.map(breach('LOST passed on')),
    ...cut.map(breach('LOST cut at a stop')),
    ...unsafe.filter(({ id }) => (runCounts.get(id) ?? 0) > 1).map(breach('TWICE')),
    ...unsafe
      .filter((request) => [429, 503].includes(request.status) && hasRun(request))
      .map(breach('REFUSED')),
    ...record.requests.filter(({ foreign }) => foreign).map(breach('MIXED')),
  ];
}
