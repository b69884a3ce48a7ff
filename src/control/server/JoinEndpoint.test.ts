import { createServer, type Server } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import type { Member, Membership } from '../raft/Types.js';
import { EmptiedIds, mayReportEmptied } from './EmptiedReports.js';
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
