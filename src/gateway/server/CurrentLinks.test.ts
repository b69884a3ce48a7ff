import { describe, expect, it } from 'vitest';
import { createRandom } from '../../common/Random.js';
import { ControlMessageType, type EntryToControlMessage } from '../../common/Messages.js';
import { PROTOCOL_VERSION } from '../../common/Constants.js';
import { silentLogger } from '../../runtime/Logger.js';
import type { MessageClientOptions } from '../../runtime/MessageClient.js';
import { createEntryHost, createPong } from '../fixtures.js';
import { GatewayRouting } from '../GatewayRouting.js';
import { ControlWatch } from './ControlWatch.js';
import type { ControlClient } from './ControlWatchTypes.js';

const STEP_MS = 10;

/** Time by which a gateway in touch must have news, less the 2.35 s after which it serves without. */
const NEWS_WITHIN_MS = 2_300;

/** Control hosts in virtual time, which answer each heartbeat at once and name each other as members. */
function createWorld(names: readonly string[]) {
  let nowMs = 0;
  let seeds = names.slice(0, 3);
  const timers: { dueMs: number; intervalMs: number; fire: () => void }[] = [];
  const current = new Set(names);
  const watched = new Set<string>();
  const delayed = new Set<string>();
  const watches: ControlWatch[] = [];
  const states: string[] = [];
  const addressOf = (address: string) => ({ id: address, address, port: 1 });
  const voters = names.map(addressOf);
  const createClient = (options: MessageClientOptions): ControlClient => {
    const { address } = options;
    const state = { isOpen: false };
    const answer = (message: EntryToControlMessage) => {
      if (message.type === ControlMessageType.Watch) {
        if (message.ends) watched.delete(address);
        else watched.add(address);
      }
      if (message.type !== ControlMessageType.Ping || delayed.has(address)) return;
      const report = { routingIndex: 5, isCurrent: current.has(address) };
      const membership = { membershipIndex: 1, voters };
      options.onMessage(createPong(message.pingId, { ...report, ...membership }));
    };
    timers.push({
      dueMs: nowMs + STEP_MS,
      intervalMs: Number.POSITIVE_INFINITY,
      fire: () => {
        state.isOpen = true;
        options.onOpen();
      },
    });
    return {
      get isOpen() {
        return state.isOpen;
      },
      get lastReceivedAtMs() {
        return nowMs;
      },
      serverProtocol: PROTOCOL_VERSION,
      send: (message) => {
        if (state.isOpen) answer(message as EntryToControlMessage);
        return state.isOpen;
      },
      dispose: () => {
        state.isOpen = false;
        watched.delete(address);
      },
    };
  };
  const routing: GatewayRouting = new GatewayRouting({
    random: createRandom(1),
    nowMs: () => nowMs,
    setTimer: () => () => {},
    ping: () => watches.forEach((watch) => watch.ping()),
    onUsableChange: () => {},
    gauge: () => {},
    log: (event, fields) => {
      if (event === 'routing_state') states.push(String(fields.state));
    },
  });
  const watch = new ControlWatch({
    self: () => createEntryHost('entry-1'),
    secret: '',
    logger: silentLogger,
    seeds: () => seeds.map(addressOf),
    routingIndex: () => 5,
    departures: () => [],
    onMessage: () => {},
    onLinked: (control) => routing.noteLinked(control),
    onPing: (pingId) => routing.notePing(pingId),
    onPong: (pong, control) => routing.notePong(pong, control),
    onLost: (control) => routing.noteLost(control),
    createClient,
    nowMs: () => nowMs,
    setInterval: (intervalMs, fire) => {
      timers.push({ dueMs: nowMs + intervalMs, intervalMs, fire });
      return () => {};
    },
  });
  watches.push(watch);
  routing.apply({ index: 5, version: 1, table: null, closedZones: [] }, 'control-1');
  const step = () => {
    nowMs += STEP_MS;
    timers
      .filter(({ dueMs }) => dueMs <= nowMs)
      .forEach((timer) => {
        Object.assign(timer, { dueMs: nowMs + timer.intervalMs });
        timer.fire();
      });
    routing.refusal();
  };
  return {
    current,
    /** Control hosts whose links carry a long message, so that no answer arrives. */
    delayed,
    setSeeds: (next: readonly string[]) => {
      seeds = [...next];
    },
    watched,
    states,
    run(spanMs: number) {
      const untilMs = nowMs + spanMs;
      while (nowMs < untilMs) step();
    },
  };
}

const NAMES = ['control-1', 'control-2', 'control-3', 'control-4', 'control-5'];

describe('a gateway whose watched control hosts lose contact with a majority', () => {
  // Guards against a gateway that serves on by an old routing beside control hosts that are current.
  it('gets news of the others before it counts as cut off', () => {
    const world = createWorld(NAMES);
    world.run(5_000);
    expect(world.watched.size).toBe(2);
    const before = [...world.watched];
    before.forEach((name) => world.current.delete(name));
    world.states.length = 0;
    world.run(NEWS_WITHIN_MS);
    expect(world.states).toEqual([]);
    world.run(10_000);
    expect(world.states).toEqual([]);
    expect([...world.watched].filter((name) => before.includes(name))).toEqual([]);
  });

  // Guards against a gateway that keeps to control hosts that were removed and still run.
  it('tries the seeds if it knows of no current one', () => {
    const world = createWorld(NAMES.slice(0, 2));
    world.run(5_000);
    world.current.clear();
    world.current.add('control-3');
    world.setSeeds(['control-3']);
    world.run(5_000);
    expect([...world.watched]).toEqual(['control-3']);
    expect(world.states.at(-1)).toBe('current');
  });

  // Guards against a gateway that confirmations don't wait for, as it left a link with a long message.
  it('keeps to control hosts whose answers are late', () => {
    const world = createWorld(NAMES);
    world.run(5_000);
    const before = [...world.watched].sort();
    before.forEach((name) => world.delayed.add(name));
    world.run(3_000);
    expect([...world.watched].sort()).toEqual(before);
  });
});
