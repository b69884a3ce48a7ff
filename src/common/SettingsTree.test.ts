import { describe, expect, it } from 'vitest';
import { buildTree, OTARU, SWANBOURNE } from '../../standin/Deployments.js';
import { buildCatalog, checkTree, readPath, subtreeOf, writePath } from './SettingsTree.js';

const createTree = () => buildTree([OTARU, SWANBOURNE]);
const LEDGER = '/teams/otaru/services/ledger';

describe('writePath', () => {
  it.each([
    [`${LEDGER}/queueMax`, -1, 'at least 0'],
    [`${LEDGER}/queueMax`, 'many', 'type number'],
    [`${LEDGER}/queueMaximum`, 3, 'unknown key queueMaximum'],
    [`${LEDGER}/timeoutMs`, 1.5, 'timeoutMs'],
    [`${LEDGER}/policy`, 'fastest', 'Use one of leaseholder, round_robin, two_choices'],
    [`${LEDGER}/availabilityZones`, ['nowhere'], 'unknown availability zone nowhere'],
    [`${LEDGER}/announcementTokenHash`, 'secret', 'SHA-256'],
    ['/teams/otaru/availabilityZones/yoichi/state', 'closed', 'Use one of in, out'],
    ['/teams/otaru/availabilityZones/yoichi', null, 'unknown availability zone yoichi'],
    ['/system/leaseMs', 500, '2.5 times announcementIntervalMs'],
    ['/system/configLeaseMs', 600, 'twice configPingIntervalMs'],
    ['/teams/Bad Name/services', {}, 'lower-case'],
    ['/teams', {}, "can't be written as a whole"],
    ['/teams/__proto__/x', 1, "can't be written as a whole"],
    ['/other/thing', 1, 'unknown key other'],
  ])('refuses %s = %j with a message that contains %j', (path, value, expected) => {
    const tree = createTree();
    const before = JSON.stringify(tree);
    const result = writePath(tree, path, value);
    expect(result.isErr && result.error.message).toContain(expected);
    expect(JSON.stringify(tree)).toBe(before);
  });

  it('changes one value and leaves the rest unchanged', () => {
    const tree = createTree();
    const written = writePath(tree, `${LEDGER}/queueMax`, 7).unwrapOr(tree);
    expect(readPath(written, `${LEDGER}/queueMax`)).toBe(7);
    expect(readPath(tree, `${LEDGER}/queueMax`)).toBe(512);
    expect(written.teams.swanbourne).toEqual(tree.teams.swanbourne);
  });

  it('refuses a service name that another team uses', () => {
    const tree = createTree();
    const service = readPath(tree, LEDGER) as object;
    const value = { ...service, availabilityZones: ['perth'] };
    const result = writePath(tree, '/teams/swanbourne/services/ledger', value);
    expect(result.isErr && result.error.message).toContain('already used by team otaru');
  });
});

describe('buildCatalog', () => {
  it('omits closed availability zones', () => {
    const tree = createTree();
    const closed = writePath(tree, '/teams/otaru/availabilityZones/yoichi/state', 'out');
    const catalog = buildCatalog(closed.unwrapOr(tree));
    expect(catalog.services.get('ledger')?.openZones).toEqual(['otaru-port', 'shakotan']);
    expect(catalog.services.get('status-desk')?.openZones).toHaveLength(3);
  });
});

describe('subtreeOf', () => {
  it.each([
    ['/teams/otaru/services', 'otaru'],
    ['/system/leaseMs', 'system'],
    ['/teams', ''],
    ['/x', ''],
  ])('maps path %s to subtree %j', (path, subtree) => {
    expect(subtreeOf(path).unwrapOr('')).toBe(subtree);
  });
});

describe('checkTree', () => {
  it('lists every fault instead of only the first', () => {
    const result = checkTree({ system: { leaseMs: 1 }, teams: { a: { services: 3 } }, x: 1 });
    expect(result.isErr && result.error.map((fault) => fault.path)).toEqual([
      '/system/leaseMs',
      '/teams/a/services',
      '/',
    ]);
  });
});
