import type { IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { FORWARD_HEADER, ForwardMarks } from './ForwardMark.js';

const marks = new ForwardMarks('secret', 'entry-1');
const BASE = { attemptsMax: 2, isCounted: true, elapsedMs: 7 };

const read = (value: string) =>
  marks.read({ headers: { [FORWARD_HEADER]: value } } as unknown as IncomingMessage);

describe('a forward mark', () => {
  // Guards against a customer that is lost, or no customer that is taken for an unchecked key.
  it.each(['alder', '', 'Ä b=c'])('carries the customer "%s"', (customer) => {
    const [, value] = marks.headers({ ...BASE, customer });
    expect(read(value!)).toEqual({ from: 'entry-1', ...BASE, customer });
  });

  // Guards against a mark that an earlier version, which reads five fields, does not understand.
  it('keeps the fields of the earlier version and their order', () => {
    const [, before] = marks.headers(BASE);
    const [, after] = marks.headers({ ...BASE, customer: 'alder' });
    expect(before!.split(' ')).toHaveLength(5);
    expect(after).toBe(`${before} customer=alder`);
    expect(read(before!)?.customer).toBeUndefined();
    expect(read(`${before} customer=%`)?.customer).toBeUndefined();
  });
});
