import { v7 as uuidV7 } from 'uuid';
import { BackendLifecycleState, ZoneState } from '../src/common/Enums.js';
import { ClaimOutcome, ControlMessageType } from '../src/common/Messages.js';
import type { EntryHost } from '../src/common/Placement.js';
import { createRandom } from '../src/common/Random.js';
import { ReplicatedState } from '../src/control/ReplicatedState.js';
import { CommandType } from '../src/control/Commands.js';
import { EntryReducer } from '../src/entry/EntryReducer.js';
import {
  AttemptResult,
  EntryEffectType,
  EntryEventType,
  type EntryEvent,
} from '../src/entry/Types.js';
import { hashToken } from '../src/runtime/LinkAuth.js';
import { encodeMessage } from '../src/runtime/MessageCodec.js';
import { buildTree, serviceToken } from '../standin/Deployments.js';
import { fitLine, type Point } from './Fit.js';
import { printResult, printTable, type BenchRow } from './Table.js';

const ZONES = Array.from({ length: 13 }, (unused, index) => `zone-${index}`);
const SLOTS = 6;
const CALLS = 20_000;
const WARM_UP_CALLS = 5_000;
const CLAIMS = [20_000, 40_000, 80_000];
const NOW_MS = 1_700_000_000_000;
const MICROSECONDS_PER_MS = 1_000;
const ANSWER_BYTES = 300;

/** Keeps measured objects reachable, so that they count as used heap. */
const retained: unknown[] = [];

const collectGarbage = (globalThis as { gc?: () => void }).gc;

/** Heap in use after a full collection. */
function heapBytes(): number {
  collectGarbage?.();
  collectGarbage?.();
  return process.memoryUsage().heapUsed;
}

/** Heap in use after a full collection, and the array buffers outside of it. */
function totalBytes(): number {
  const heap = heapBytes();
  return heap + process.memoryUsage().arrayBuffers;
}

function createEntryHost(index: number): EntryHost {
  return {
    id: `entry-${index}`,
    address: `10.0.${Math.floor(index / 250)}.${index % 250}`,
    port: 7000,
    peerPort: 7100,
    adminAddress: '10.0.0.1',
    adminPort: 7200,
    availabilityZone: ZONES[index % ZONES.length]!,
    stopping: false,
  };
}

function buildServices(count: number) {
  return Array.from({ length: count }, (unused, index) => ({
    service: `service-${index}`,
    backends: 0,
  }));
}

function buildSettings(services: number) {
  const deployment = {
    team: 'team',
    availabilityZones: ZONES,
    slots: SLOTS,
    services: buildServices(services),
  };
  return buildTree([deployment], {}, { slotsMax: SLOTS });
}

type Untimed<E> = E extends unknown ? Omit<E, 'nowMs'> : never;

/** Single entry host that holds every lease: the worst case for the size of its state. */
class SingleEntryHost {
  readonly reducer: EntryReducer;

  nowMs = 1;

  private nextCall = 1;

  constructor(readonly services: number) {
    this.reducer = new EntryReducer({
      self: createEntryHost(0),
      random: createRandom(1),
      bootId: 'bench',
    });
    const controlHostId = 'control-0';
    this.reduce({ type: EntryEventType.ControlConnected, controlHostId });
    const tree = buildSettings(services);
    const type = ControlMessageType.Settings;
    this.reduce({
      type: EntryEventType.ControlMessage,
      controlHostId,
      message: { type, index: 1, revision: 1, tree },
    });
    this.answerPings();
  }

  reduce(event: Untimed<EntryEvent>) {
    return this.reducer.reduce({ ...event, nowMs: this.nowMs } as EntryEvent);
  }

  /** Answers pings, so that the settings stay current. */
  answerPings(): void {
    const effects = this.reduce({ type: EntryEventType.Tick });
    effects.forEach((effect) => {
      if (effect.type !== EntryEffectType.SendControl) return;
      if (effect.message.type !== ControlMessageType.Ping) return;
      this.reduce({
        type: EntryEventType.ControlMessage,
        controlHostId: 'control-0',
        message: {
          type: ControlMessageType.Pong,
          pingId: effect.message.pingId,
          newestSettingsIndex: 1,
          leaderId: 'control-0',
          membershipIndex: 1,
          voters: [{ id: 'control-0', address: 'x', port: 1 }],
          isVoter: true,
        },
      });
    });
  }

  announce(index: number, sequence: number, stamp: string | null): string {
    const service = `service-${index % this.services}`;
    const [answer] = this.reduce({
      type: EntryEventType.Announcement,
      requestId: 1,
      tokenHash: hashToken(serviceToken(service)),
      announcement: {
        service,
        address: `10.1.${Math.floor(index / 250)}.${index % 250}`,
        port: 80,
        availabilityZone: ZONES[index % ZONES.length]!,
        incarnation: 1,
        sequence,
        state: BackendLifecycleState.Ready,
        slots: SLOTS,
        connections: 0,
        load: { inFlight: 0 },
        requestsPerSecond: null,
        upForMs: 1_000_000,
        leaseStamp: stamp,
        previous: null,
        unreachable: [],
      },
    }).filter((effect) => effect.type === EntryEffectType.AnswerAnnouncement);
    return answer?.type === EntryEffectType.AnswerAnnouncement
      ? (answer.answer?.leaseStamp ?? '')
      : '';
  }

  /** Runs one call from its arrival to the end of its answer. */
  call(): void {
    const callId = this.nextCall;
    this.nextCall += 1;
    const effects = this.reduce({
      type: EntryEventType.CallArrived,
      call: {
        callId,
        service: `service-${callId % this.services}`,
        method: 'GET',
        idempotencyKey: null,
        fingerprint: 'GET /records',
        timeoutMs: null,
        callerId: 'caller',
        forwarded: false,
        replayable: true,
      },
    });
    const started = effects.find((effect) => effect.type === EntryEffectType.StartAttempt);
    if (started?.type !== EntryEffectType.StartAttempt) return;
    const { attemptId } = started;
    this.reduce({ type: EntryEventType.AttemptHeaders, callId, attemptId });
    this.reduce({
      type: EntryEventType.AttemptEnded,
      callId,
      attemptId,
      result: AttemptResult.Completed,
      statusCode: 200,
      resume: null,
      answer: null,
      peerStatus: null,
      peerRefusal: null,
    });
  }
}

/** Measures heap and time per announcement, call and tick, by number of backend servers. */
function measureEntry(targets: number, services: number): BenchRow {
  const heapBefore = heapBytes();
  const entry = new SingleEntryHost(services);
  retained.push(entry);
  const heapWithSettings = heapBytes();
  const stamps: string[] = [];
  for (let index = 0; index < targets; index += 1) stamps.push(entry.announce(index, 1, null));
  entry.nowMs += 10;
  const startedAtMs = performance.now();
  for (let index = 0; index < targets; index += 1) entry.announce(index, 2, stamps[index]!);
  const announcementMs = (performance.now() - startedAtMs) / targets;
  const heapWithBackends = heapBytes();
  for (let index = 0; index < WARM_UP_CALLS; index += 1) entry.call();
  const callsStartedAtMs = performance.now();
  for (let index = 0; index < CALLS; index += 1) entry.call();
  const callMs = (performance.now() - callsStartedAtMs) / CALLS;
  const ticksStartedAtMs = performance.now();
  const ticks = 200;
  for (let index = 0; index < ticks; index += 1) entry.reduce({ type: EntryEventType.Tick });
  const tickMs = (performance.now() - ticksStartedAtMs) / ticks;
  return {
    targets,
    services,
    settingsKiB: (heapWithSettings - heapBefore) / 1024,
    targetsKiB: (heapWithBackends - heapWithSettings) / 1024,
    announcementUs: announcementMs * MICROSECONDS_PER_MS,
    callUs: callMs * MICROSECONDS_PER_MS,
    tickUs: tickMs * MICROSECONDS_PER_MS,
  };
}

/** Measures heap and time per claim with its result in the replicated state. */
function measureClaims(count: number): BenchRow {
  const state = new ReplicatedState();
  retained.push(state);
  const bytesBefore = totalBytes();
  const createAnswer = () => ({
    statusCode: 201,
    rawHeaders: ['Content-Type', 'application/json'],
    body: new Uint8Array(ANSWER_BYTES),
  });
  const startedAtMs = performance.now();
  for (let index = 0; index < count; index += 1) {
    const key = uuidV7({ msecs: NOW_MS });
    const attemptId = `entry-1:bench:${index}`;
    const shared = { key, service: 'service-0', attemptId, atMs: NOW_MS };
    state.apply(2 * index, {
      type: CommandType.Claim,
      ...shared,
      fingerprint: 'POST /orders',
      entryHostId: 'entry-1',
      holdMs: 10_000,
    });
    const outcome = ClaimOutcome.Answered;
    const answer = createAnswer();
    state.apply(2 * index + 1, { type: CommandType.Settle, ...shared, outcome, answer });
  }
  const claimMs = (performance.now() - startedAtMs) / count;
  const claimsMiB = (totalBytes() - bytesBefore) / 1024 / 1024;
  return {
    claims: count,
    claimsMiB,
    claimUs: claimMs * MICROSECONDS_PER_MS,
    bytesPerClaim: (claimsMiB * 1024 * 1024) / count,
  };
}

/** Measures the sizes of settings messages and the time of a change, by number of services. */
function measureSettings(services: number): BenchRow {
  const state = new ReplicatedState();
  const tree = buildSettings(services);
  state.apply(1, { type: CommandType.Bootstrap, tree, atMs: NOW_MS });
  const changes = 50;
  const startedAtMs = performance.now();
  let deltaBytes = 0;
  for (let index = 0; index < changes; index += 1) {
    const { delta } = state.apply(index + 2, {
      type: CommandType.Change,
      changeId: `change-${index}`,
      baseRevision: state.subtreeRevision('team'),
      path: `/teams/team/availabilityZones/${ZONES[0]}/state`,
      value: index % 2 ? ZoneState.In : ZoneState.Out,
      actor: 'bench',
      atMs: NOW_MS,
    });
    deltaBytes = encodeMessage({ type: ControlMessageType.SettingsDelta, ...delta! }).length;
  }
  const changeMs = (performance.now() - startedAtMs) / changes;
  return {
    services,
    changeUs: changeMs * MICROSECONDS_PER_MS,
    deltaBytes,
    treeBytes: encodeMessage(state.tree).length,
  };
}

/** Measures the size of the message that lists the entry hosts. */
function measureRoster(entryHosts: number): BenchRow {
  const hosts = Array.from({ length: entryHosts }, (unused, index) => createEntryHost(index));
  const message = { type: ControlMessageType.EntryHosts, entryHosts: hosts };
  return { entryHosts, rosterBytes: encodeMessage(message).length };
}

/** Fits one figure of the rows against another. */
function fitRows(rows: readonly BenchRow[], x: string, y: string): BenchRow {
  const points = rows.map<Point>((row) => ({ x: Number(row[x]), y: Number(row[y]) }));
  const { slope: perUnit, intercept, rSquared } = fitLine(points);
  return { figure: y, per: x, slope: perUnit, intercept, rSquared };
}

/** Measures, in one process, slopes of state, messages and processor time for CAPACITY.md. */
export async function benchSlopes(): Promise<void> {
  if (!collectGarbage) throw new Error('run with node --expose-gc');
  measureEntry(50, 6);
  const entryRows = [
    [50, 6],
    [150, 18],
    [500, 60],
    [1_500, 180],
  ].map(([targets, services]) => measureEntry(targets!, services!));
  const claimRows = CLAIMS.map(measureClaims);
  const settingsRows = [6, 18, 60, 180].map(measureSettings);
  const rosterRows = [22, 200, 1_000].map(measureRoster);
  [entryRows, claimRows, settingsRows, rosterRows].forEach((rows) => {
    printTable(rows);
    process.stdout.write('\n');
  });
  const slopes = [
    fitRows(entryRows, 'services', 'settingsKiB'),
    fitRows(entryRows, 'targets', 'targetsKiB'),
    fitRows(entryRows, 'targets', 'announcementUs'),
    fitRows(entryRows, 'targets', 'callUs'),
    fitRows(entryRows, 'targets', 'tickUs'),
    fitRows(claimRows, 'claims', 'claimsMiB'),
    fitRows(settingsRows, 'services', 'changeUs'),
    fitRows(settingsRows, 'services', 'treeBytes'),
    fitRows(rosterRows, 'entryHosts', 'rosterBytes'),
  ];
  printTable(slopes);
  const last = entryRows.at(-1)!;
  printResult('slopes', {
    targets: last.targets!,
    services: last.services!,
    entryMiB: (Number(last.settingsKiB) + Number(last.targetsKiB)) / 1024,
    callUs: last.callUs!,
    tickUs: last.tickUs!,
    bytesPerClaim: claimRows.at(-1)!.bytesPerClaim!,
  });
}
