import { describe, expect, it } from 'vitest';
import { findBreaches } from './Checks.js';
import { GIVEN_UP } from './Http.js';
import {
  DisturbanceKind,
  SoakRole,
  type Disturbance,
  type OwnEnd,
  type SentRequest,
  type SoakRecord,
} from './Types.js';

function createRequest(id: string, changes: Partial<SentRequest> = {}): SentRequest {
  return {
    id,
    machine: 'edge-1',
    method: 'GET',
    kept: true,
    behind: false,
    sentMs: 10_000,
    endedMs: 10_100,
    status: 200,
    foreign: false,
    ...changes,
  };
}

function createRecord(changes: Partial<SoakRecord> = {}): SoakRecord {
  return { requests: [], runs: [], disturbances: [], ownEnds: [], ...changes };
}

function createDisturbance(kind: DisturbanceKind, fromMs: number, toMs: number): Disturbance {
  return { machine: 'edge-1', kind, fromMs, toMs };
}

const LOST = { status: 0, error: 'ECONNRESET' };

const run = (id: string) => ({ id, backend: 'ledger-1', atMs: 10_050, sound: true });

const rulesOf = (record: SoakRecord) => findBreaches(record).map(({ rule }) => rule);

describe('findBreaches', () => {
  it('finds nothing in a record of answered requests', () => {
    const requests = [createRequest('a'), createRequest('b', { method: 'POST', status: 503 })];
    expect(rulesOf(createRecord({ requests, runs: [run('a')] }))).toEqual([]);
  });

  it('reports requests that were passed on and not answered, from the fourth on', () => {
    const ids = ['a', 'b', 'c', 'd'];
    const recordOf = (count: number) =>
      createRecord({
        requests: ids.slice(0, count).map((id) => createRequest(id, LOST)),
        runs: ids.map(run),
      });
    expect(rulesOf(recordOf(3))).toEqual([]);
    expect(rulesOf(recordOf(4))).toEqual(ids.map(() => 'LOST passed on'));
  });

  it('leaves out requests whose backend server withheld its answer', () => {
    const ids = ['a', 'b', 'c', 'd'];
    const requests = ids.map((id) => createRequest(id, LOST));
    const runs = ids.map((id) => ({ ...run(id), sound: false }));
    expect(rulesOf(createRecord({ requests, runs }))).toEqual([]);
  });

  it('reports the first such request around a planned stop', () => {
    const record = createRecord({
      requests: [createRequest('a', LOST)],
      runs: [run('a')],
      disturbances: [createDisturbance(DisturbanceKind.Terminate, 9_000, 15_000)],
    });
    expect(rulesOf(record)).toEqual(['LOST passed on']);
  });

  it('reports a kept connection that is cut long after the request around a planned stop', () => {
    const disturbances = [createDisturbance(DisturbanceKind.Terminate, 9_000, 15_000)];
    const rulesAfter = (waitedMs: number) => {
      const request = createRequest('a', { ...LOST, endedMs: 10_000 + waitedMs });
      return rulesOf(createRecord({ requests: [request], disturbances }));
    };
    expect(rulesAfter(150)).toEqual([]);
    expect(rulesAfter(250)).toEqual(['LOST cut at a stop']);
    const behind = createRequest('a', { ...LOST, endedMs: 10_250, behind: true });
    expect(rulesOf(createRecord({ requests: [behind], disturbances }))).toEqual([]);
    expect(rulesOf(createRecord({ requests: [behind], disturbances, runs: [run('a')] }))).toEqual([
      'LOST passed on',
    ]);
  });

  it('leaves out machines that were killed or paused, and requests that the client gave up', () => {
    const ids = ['a', 'b', 'c', 'd'];
    const runs = ids.map(run);
    const disturbances = [createDisturbance(DisturbanceKind.Kill, 8_000, 9_000)];
    const requests = ids.map((id) => createRequest(id, LOST));
    expect(rulesOf(createRecord({ requests, runs, disturbances }))).toEqual([]);
    const givenUp = ids.map((id) => createRequest(id, { ...LOST, error: GIVEN_UP }));
    expect(rulesOf(createRecord({ requests: givenUp, runs }))).toEqual([]);
  });

  it('reports orders that run twice, or though they are refused', () => {
    const order = { method: 'POST' };
    const requests = [createRequest('a', order), createRequest('b', { ...order, status: 503 })];
    const record = createRecord({ requests, runs: [run('a'), run('a'), run('b')] });
    expect(rulesOf(record)).toEqual(['TWICE', 'REFUSED']);
  });

  it('reports a success that is not the answer of the backend server', () => {
    expect(rulesOf(createRecord({ requests: [createRequest('a', { foreign: true })] }))).toEqual([
      'MIXED',
    ]);
  });

  it('reports processes that end by themselves three times', () => {
    const end: OwnEnd = {
      machine: 'edge-1',
      role: SoakRole.Gateway,
      atMs: 1,
      detail: 'code=1 signal=null',
    };
    expect(rulesOf(createRecord({ ownEnds: [end, end] }))).toEqual([]);
    expect(rulesOf(createRecord({ ownEnds: [end, end, end] }))).toEqual([
      'FAULT',
      'FAULT',
      'FAULT',
    ]);
  });
});
