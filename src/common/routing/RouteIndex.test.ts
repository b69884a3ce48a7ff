import { describe, expect, it } from 'vitest';
import { RouteIndex } from './RouteIndex.js';
import { checkRouting, patchRouting } from './RoutingCheck.js';
import { createRoute, createTable } from './fixtures.js';

describe('RouteIndex', () => {
  const index = new RouteIndex(
    createTable([
      createRoute('short', { pathPrefix: '/a/' }),
      createRoute('long', { pathPrefix: '/a/b/' }),
      createRoute('other', { host: 'Other.example', pathPrefix: '/' }),
    ]),
  );

  it.each([
    ['calls.example', '/a/x', 'short'],
    ['calls.example', '/a/b/x', 'long'],
    ['CALLS.example:8080', '/a/b/?q=/z/', 'long'],
    ['other.example', '/anything', 'other'],
    ['calls.example', '/b/', undefined],
    ['calls.example', '/x?/a/', undefined],
    ['none.example', '/a/', undefined],
  ])('maps %s%s to route %s', (host, target, name) =>
    expect(index.match(host, target)?.name).toBe(name),
  );
});

describe('checkRouting', () => {
  it('lists every fault of a table', () => {
    const table = createTable([
      createRoute('a', { pathPrefix: 'a/', timeoutMs: 700_000 }),
      createRoute('a', { destinations: [{ service: 'none', weight: -1 }] }),
    ]);
    const error = checkRouting(table).match({ Ok: () => '', Err: (fault) => fault.detail });
    expect(error).toContain('pathPrefix');
    expect(error).toContain('timeoutMs');
    expect(error).toContain('unknown service none');
    expect(error).toContain('below 0');
    expect(error).toContain('stands twice');
  });
});

describe('patchRouting', () => {
  it('keeps the order of replaced items and adds new ones at the end', () => {
    const table = createTable([createRoute('a'), createRoute('b'), createRoute('c')]);
    const patched = patchRouting(table, {
      upsertRoutes: [createRoute('d'), createRoute('a', { timeoutMs: 5 })],
      upsertServices: [],
      removeRoutes: ['b'],
      removeServices: [],
    });
    expect(patched.routes.map((route) => route.name)).toEqual(['a', 'c', 'd']);
    expect(patched.routes[0]!.timeoutMs).toBe(5);
  });
});
