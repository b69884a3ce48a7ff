import { describe, expect, it } from 'vitest';
import { FairQueue, type QueuedItem } from './FairQueue.js';

const createItem = (callerId: string, deadlineMs: number): QueuedItem => ({ callerId, deadlineMs });

function drain(queue: FairQueue<QueuedItem>): string[] {
  const order: string[] = [];
  for (let item = queue.shift(); item; item = queue.shift()) {
    order.push(`${item.callerId}${item.deadlineMs}`);
  }
  return order;
}

describe('FairQueue', () => {
  it('serves callers in turn, and the earliest deadline of each first', () => {
    const queue = new FairQueue<QueuedItem>(10);
    [5, 3, 9, 1].forEach((deadlineMs) => queue.push(createItem('noisy', deadlineMs)));
    queue.push(createItem('quiet', 8));
    queue.push(createItem('quiet', 7));
    expect(drain(queue)).toEqual(['noisy1', 'quiet7', 'noisy3', 'quiet8', 'noisy5', 'noisy9']);
  });

  it('serves a new caller in turn at once, without credit for the time before', () => {
    const queue = new FairQueue<QueuedItem>(100);
    for (let index = 0; index < 20; index += 1) queue.push(createItem('noisy', index));
    for (let index = 0; index < 10; index += 1) queue.shift();
    for (let index = 0; index < 5; index += 1) queue.push(createItem('quiet', index));
    const served = drain(queue).slice(0, 6).join();
    expect(served.match(/quiet/g)).toHaveLength(3);
  });

  it('evicts the latest deadline of the caller with the most calls in a full queue', () => {
    const queue = new FairQueue<QueuedItem>(3);
    [1, 2, 3].forEach((deadlineMs) => queue.push(createItem('noisy', deadlineMs)));
    expect(queue.push(createItem('quiet', 9))).toEqual(createItem('noisy', 3));
    expect(queue.length).toBe(3);
  });

  it('removes expired items and a given item', () => {
    const queue = new FairQueue<QueuedItem>(10);
    const item = createItem('a', 50);
    [10, 20, 30].forEach((deadlineMs) => queue.push(createItem('a', deadlineMs)));
    queue.push(item);
    expect(queue.takeExpired(20).map((expired) => expired.deadlineMs)).toEqual([10, 20]);
    expect(queue.remove(item)).toBe(true);
    expect(queue.remove(item)).toBe(false);
    expect(drain(queue)).toEqual(['a30']);
    expect(queue.length).toBe(0);
  });

  it('estimates the number of items served before a new one', () => {
    const queue = new FairQueue<QueuedItem>(100);
    for (let index = 0; index < 20; index += 1) queue.push(createItem('noisy', index));
    expect(queue.aheadOf('quiet')).toBe(1);
    expect(queue.aheadOf('noisy')).toBe(20);
  });
});
