import { mkdtemp, rm } from 'node:fs/promises';
import { createServer, type Server } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { UnhandledFaults } from '../../../standin/UnhandledFaults.js';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import type { Member, Membership } from '../raft/Types.js';
import { EmptiedIds, mayReportEmptied } from './EmptiedReports.js';
import { openSingleControl } from './fixtures.js';
import { answerJoin, requestJoin } from './JoinEndpoint.js';

const ADDRESS = '127.0.0.1';
const MEMBER: Member = { id: 'c-2', address: ADDRESS, port: 7_540 };
const MEMBERSHIP: Membership = { voters: [{ ...MEMBER, id: 'c' }], learners: [] };

describe('a join request', () => {
  let server: Server;
  let port: number;
  const joins: { readonly member: Member; readonly emptiedIds: readonly string[] }[] = [];

  beforeEach(async () => {
    joins.length = 0;
    server = createServer((request, response) =>
      answerJoin(request, response, {
        secret: 'secret',
        membership: () => MEMBERSHIP,
        onJoin: (member, emptiedIds) => joins.push({ member, emptiedIds }),
      }),
    );
    port = await listen(server, ADDRESS, 0);
  });

  afterEach(() => closeServer(server));

  it('passes on the earlier ids of a host whose disk was lost', async () => {
    const answer = await requestJoin({ address: ADDRESS, port }, MEMBER, 'secret', ['c']);
    expect(answer).toEqual(MEMBERSHIP);
    expect(joins).toEqual([{ member: MEMBER, emptiedIds: ['c'] }]);
  });

  // Earlier versions send no report.
  it('without a report counts no voter as emptied', async () => {
    await requestJoin({ address: ADDRESS, port }, MEMBER, 'secret');
    expect(joins).toEqual([{ member: MEMBER, emptiedIds: [] }]);
  });

  it('of a sender without the shared secret has no effect', async () => {
    expect(await requestJoin({ address: ADDRESS, port }, MEMBER, 'other', ['c'])).toBeUndefined();
    expect(joins).toEqual([]);
  });
});

/** Answers that another program at the address of a seed may send. */
const ODD_ANSWERS = [
  ...['null', '5', '[]', '{}', '{"voters":[]}', '{"voters":[],"learners":5}', '{"voters":[5]}'],
  ...['{"voters":[null],"learners":[]}', '{"voters":[{}],"learners":[]}'],
  '{"voters":[{"id":"x","address":"127.0.0.1","port":1}]}',
  '{"voters":[{"id":"x","address":{},"port":1}],"learners":[]}',
  '{"voters":[{"id":"x","address":"127.0.0.1","port":99999}],"learners":[]}',
  '{"voters":[],"learners":[{"id":"x","address":"127.0.0.1","port":"1"}]}',
];

describe('an answer to a join request', () => {
  let seed: Server;
  let folder = '';

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'egret-join-'));
  });

  afterEach(async () => {
    await closeServer(seed);
    await rm(folder, { recursive: true, force: true });
  });

  // Guards against a control host that ends as another program has the address of a seed.
  it.each(ODD_ANSWERS.flatMap((text) => [[text, false] as const, [text, true] as const]))(
    'that is no membership is ignored: %s (disk lost: %s)',
    async (text, wasEmptied) => {
      const faults = new UnhandledFaults();
      const fatal: unknown[] = [];
      let answers = 0;
      seed = createServer((request, response) => {
        request.resume();
        response.end(text, () => {
          answers += 1;
        });
      });
      const port = await listen(seed, ADDRESS, 0);
      const control = await openSingleControl(folder, {
        initialVoters: [],
        wasEmptied,
        seeds: () => [{ address: ADDRESS, port }],
        onFatal: (error) => fatal.push(error),
      });
      await control.start();
      await expect.poll(() => answers, { timeout: 10_000 }).toBeGreaterThan(1);
      await control.stop();
      expect(fatal).toEqual([]);
      expect(faults.end()).toEqual([]);
    },
  );
});

describe('EmptiedIds', () => {
  // A report that names the voter of another host would take that voter out of the election.
  it('names only voters at the own address and port, under other ids', () => {
    const ids = new EmptiedIds(() => MEMBER);
    const voters = [
      { ...MEMBER, id: 'c' },
      MEMBER,
      { ...MEMBER, id: 'd', port: 1 },
      { ...MEMBER, id: 'e', address: '127.0.0.2' },
    ];
    ids.learn({ voters, learners: [] });
    expect(ids.list()).toEqual(['c']);
  });

  it('is not used by a host of the first start', () => {
    expect(mayReportEmptied('founder.1')).toBe(false);
    expect(mayReportEmptied('0123.emptied')).toBe(true);
  });
});
