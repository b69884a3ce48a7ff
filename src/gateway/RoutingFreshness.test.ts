import { describe, expect, it } from 'vitest';
import type { PongMessage } from '../common/Messages.js';
import { createPong } from './fixtures.js';
import { HOLD_MAX_MS } from './HeldCalls.js';
import {
  BEHIND_MAX_MS,
  RELINK_MS,
  RoutingFreshness,
  FreshnessState,
  UNCONFIRMED_AFTER_MS,
} from './RoutingFreshness.js';
import { STARTUP_MS } from './StartupGate.js';

const TICK_MS = 200;

const { Starting, Current, Behind, Unconfirmed, CutOff } = FreshnessState;

/** Gateway that applies index 5, with heartbeats every 200 ms. */
function createWorld() {
  let nowMs = 0;
  let pingId = 0;
  const freshness = new RoutingFreshness({ startedAtMs: 0 });
  freshness.noteLinked('control-1');
  freshness.noteApplied(5);
  const ping = () => {
    pingId += 1;
    freshness.notePing(pingId, nowMs);
  };
  const pong = (report: Partial<PongMessage>, control = 'control-1', id = pingId) =>
    freshness.notePong(control, createPong(id, report), nowMs);
  return {
    freshness,
    ping,
    pong,
    nowMs: () => nowMs,
    lastPingId: () => pingId,
    state: () => freshness.stateAt(nowMs),
    /** Lets time pass while the process does not run. */
    pause: (durationMs: number) => {
      nowMs += durationMs;
    },
    /** Runs for a time; with a report, each heartbeat is answered at once. */
    run(durationMs: number, report?: Partial<PongMessage>) {
      const untilMs = nowMs + durationMs;
      while (nowMs < untilMs) {
        nowMs = Math.min(untilMs, nowMs + TICK_MS);
        ping();
        if (report) pong(report);
        freshness.stateAt(nowMs);
      }
    },
  };
}

const CONFIRMED = { routingIndex: 5, isCurrent: true };

const NEWER = { routingIndex: 6, isCurrent: true };

describe('a gateway in contact with a current control host', () => {
  // Guards against a gateway of which no line says when and from whom it last had news.
  it('names the control host that it last had news of, and the links', () => {
    const { freshness, run, pong, nowMs, ping } = createWorld();
    run(600, CONFIRMED);
    freshness.noteLinked('control-2');
    ping();
    pong({ ...CONFIRMED, isCurrent: false }, 'control-2');
    run(800);
    expect(freshness.newsAt(nowMs())).toEqual({
      ageMs: 800,
      control: 'control-1',
      links: 2,
      currentLinks: 1,
    });
  });

  it('is current while its routing is the newest', () => {
    const world = createWorld();
    world.run(10_000, CONFIRMED);
    expect(world.state()).toBe(Current);
  });

  // Guards against a gateway that serves by a superseded routing for as long as nothing is sent to it.
  it('is behind after a newer routing was known for too long, until it applies it', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.run(200, NEWER);
    world.run(BEHIND_MAX_MS - 1, NEWER);
    expect(world.state()).toBe(Current);
    world.run(1, NEWER);
    expect(world.state()).toBe(Behind);
    world.run(5_000, NEWER);
    expect(world.state()).toBe(Behind);
    world.freshness.noteApplied(6);
    expect(world.state()).toBe(Current);
  });

  // Guards against refusals during quick changes, each of which is applied in time.
  it('is current during a series of versions that it applies one by one', () => {
    const world = createWorld();
    world.run(TICK_MS, CONFIRMED);
    for (let index = 6; index < 40; index += 1) {
      world.run(400, { routingIndex: index, isCurrent: true });
      expect(world.state()).toBe(Current);
      world.freshness.noteApplied(index - 1);
    }
  });

  // Guards against a control host that has just restarted, or lost its majority, as a witness.
  it('takes nothing from a control host that is not current', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.run(UNCONFIRMED_AFTER_MS + TICK_MS, { routingIndex: 4, isCurrent: false });
    expect(world.state()).toBe(Unconfirmed);
    expect(world.freshness.lag.newestIndex).toBe(5);
  });
});

describe('a gateway that hears nothing', () => {
  it('is unconfirmed after the bound, and current with the first answer', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.run(UNCONFIRMED_AFTER_MS);
    expect(world.state()).toBe(Current);
    world.run(TICK_MS);
    expect(world.state()).toBe(Unconfirmed);
    expect(world.freshness.unconfirmedLeftMs(world.nowMs())).toBe(HOLD_MAX_MS);
    world.pong(CONFIRMED);
    expect(world.state()).toBe(Current);
  });

  // Guards against an outage of gateways whose links to all control hosts are cut.
  it('is cut off once it has waited in vain, and stays so until news arrives', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.run(UNCONFIRMED_AFTER_MS + TICK_MS);
    world.run(HOLD_MAX_MS);
    expect(world.state()).toBe(CutOff);
    world.run(60_000);
    expect(world.state()).toBe(CutOff);
    world.run(TICK_MS, CONFIRMED);
    expect(world.state()).toBe(Current);
  });

  // Guards against a gateway that serves by a routing that it knows to be superseded, as the answers on
  // its open links are late.
  it('is behind for as long as a link is open, and then cut off too', () => {
    const world = createWorld();
    world.run(2_000, NEWER);
    expect(world.state()).toBe(Behind);
    world.run(UNCONFIRMED_AFTER_MS + TICK_MS + HOLD_MAX_MS);
    expect(world.state()).toBe(Behind);
    world.freshness.noteLost('control-1');
    expect(world.state()).toBe(CutOff);
    world.freshness.noteLinked('control-1');
    world.run(TICK_MS, NEWER);
    expect(world.state()).toBe(Behind);
  });

  // Guards against an answer that counts from its arrival, seconds after the heartbeat was sent.
  it('counts a late answer from the time of its heartbeat', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.ping();
    const sent = 6;
    world.run(UNCONFIRMED_AFTER_MS + TICK_MS);
    world.pong(CONFIRMED, 'control-1', sent);
    expect(world.state()).toBe(Unconfirmed);
  });
});

describe('a gateway that learns of a change late', () => {
  // Guards against a grace period that begins long after the change was confirmed: the control hosts that it
  // watched were cut off, and it had been told of nothing newer meanwhile.
  it('ceases to serve 2 s after the last news before the change', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.run(1_400, { ...CONFIRMED, isCurrent: false });
    world.run(TICK_MS, NEWER);
    expect(world.state()).toBe(Current);
    world.run(2 * TICK_MS, NEWER);
    expect(world.state()).toBe(Behind);
  });
});

describe('a gateway whose answers all come late', () => {
  const LATE_MS = 2_400;

  /** Runs with heartbeats whose answers arrive late, for twice their delay. */
  function runLate(world: ReturnType<typeof createWorld>, report: Partial<PongMessage>) {
    const lateTicks = LATE_MS / TICK_MS;
    for (let tick = 0; tick < 2 * lateTicks; tick += 1) {
      world.run(TICK_MS);
      const id = world.lastPingId() - lateTicks;
      if (id > 0) world.pong(report, 'control-1', id);
    }
  }

  // Guards against a gateway on a slow link that counts as cut off and serves by an old routing.
  it('is behind while it knows of a newer routing, for as long as answers arrive or a link is open', () => {
    const world = createWorld();
    world.run(3_000, CONFIRMED);
    runLate(world, NEWER);
    expect(world.state()).toBe(Behind);
    runLate(world, NEWER);
    expect(world.state()).toBe(Behind);
    world.run(2_000);
    expect(world.state()).toBe(Behind);
    world.freshness.noteLost('control-1');
    world.run(5_000);
    expect(world.state()).toBe(CutOff);
  });

  // Guards against refusing all calls although no newer routing is known.
  it('serves on while it knows of no newer routing', () => {
    const world = createWorld();
    world.run(3_000, CONFIRMED);
    runLate(world, CONFIRMED);
    expect(world.state()).toBe(CutOff);
  });
});

describe('a gateway that was sent a routing that it can not read', () => {
  // Guards against a table that no gateway can read and that ends service at all of them.
  it('serves on by the applied one, and is behind again once a later one is reported', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.run(TICK_MS, NEWER);
    world.freshness.noteRefused(6);
    world.run(2 * BEHIND_MAX_MS, NEWER);
    expect(world.state()).toBe(Current);
    world.run(2 * BEHIND_MAX_MS, { routingIndex: 7, isCurrent: true });
    expect(world.state()).toBe(Behind);
  });
});

describe('a gateway that was paused', () => {
  // Guards against a process that acts, after a pause, on what it knew before.
  it('is unconfirmed until a heartbeat sent after the pause is answered', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.pause(1_500);
    expect(world.state()).toBe(Unconfirmed);
    world.pong(CONFIRMED);
    expect(world.state()).toBe(Unconfirmed);
    world.ping();
    world.pong(CONFIRMED);
    expect(world.state()).toBe(Current);
  });

  it('is unconfirmed whichever comes first: a heartbeat, an answer or a call', () => {
    const first: ((world: ReturnType<typeof createWorld>) => void)[] = [
      ({ ping }) => ping(),
      ({ pong }) => pong(CONFIRMED),
      ({ state }) => state(),
    ];
    first.forEach((act) => {
      const world = createWorld();
      world.run(1_000, CONFIRMED);
      world.pause(10_000);
      act(world);
      expect(world.state()).toBe(Unconfirmed);
    });
  });

  it('awaits news again if it was cut off before the pause', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.run(10_000);
    expect(world.state()).toBe(CutOff);
    world.pause(5_000);
    expect(world.state()).toBe(Unconfirmed);
    world.run(RELINK_MS - 1);
    expect(world.state()).toBe(Unconfirmed);
    world.run(1);
    expect(world.state()).toBe(CutOff);
  });

  it('is behind at once if it knew of a newer routing before', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.run(TICK_MS, NEWER);
    world.pause(3_000);
    expect(world.state()).toBe(Behind);
  });
});

describe('a gateway linked to control hosts of earlier versions', () => {
  // Guards against refusals while the control hosts are updated or set back.
  it('is always current', () => {
    const world = createWorld();
    world.run(1_000, {});
    world.pause(10_000);
    expect(world.state()).toBe(Current);
    world.run(10_000);
    expect(world.state()).toBe(Current);
  });

  it('is current again once the last control host that reports is gone', () => {
    const world = createWorld();
    world.run(1_000, CONFIRMED);
    world.pong({}, 'control-2');
    world.freshness.noteLost('control-1');
    world.pause(10_000);
    world.ping();
    world.pong({}, 'control-2');
    expect(world.state()).toBe(Current);
  });

  it('is bound by one control host that reports', () => {
    const world = createWorld();
    world.pong({}, 'control-2');
    world.run(2_000, NEWER);
    world.pong({}, 'control-2');
    expect(world.state()).toBe(Behind);
  });
});

describe('a gateway that has just started', () => {
  // Guards against a superseded routing that is used because it came first.
  it('is starting until it applies the index that the first current control host reported', () => {
    const world = createWorld();
    expect(world.state()).toBe(Starting);
    world.run(TICK_MS, { routingIndex: 5, isCurrent: false });
    expect(world.state()).toBe(Starting);
    world.run(TICK_MS, NEWER);
    world.run(TICK_MS, { routingIndex: 7, isCurrent: true });
    expect(world.state()).toBe(Starting);
    world.freshness.noteApplied(6);
    expect(world.state()).toBe(Current);
  });

  it('is current with the first answer of a current control host that knows no newer one', () => {
    const world = createWorld();
    world.run(TICK_MS, CONFIRMED);
    expect(world.state()).toBe(Current);
  });

  it('is current with the first answer of a control host of an earlier version', () => {
    const world = createWorld();
    world.run(TICK_MS, {});
    expect(world.state()).toBe(Current);
  });

  // Guards against refusals by all gateways while the control hosts are updated during a change.
  it('was started already if it served beside control hosts of an earlier version', () => {
    const world = createWorld();
    world.run(TICK_MS, {});
    world.run(TICK_MS, NEWER);
    expect(world.state()).toBe(Current);
    world.run(BEHIND_MAX_MS, NEWER);
    expect(world.state()).toBe(Behind);
  });

  it.each([undefined, { routingIndex: 5, isCurrent: false }])(
    'serves with what it has after the startup time: %j',
    (report) => {
      const world = createWorld();
      world.run(STARTUP_MS - 1, report);
      expect(world.state()).toBe(Starting);
      world.run(1, report);
      expect(world.state()).toBe(CutOff);
    },
  );

  // Guards against a gateway that serves nobody because there is no control host to ask.
  it('serves with what it has while no control host is linked', () => {
    const world = createWorld();
    expect(world.state()).toBe(Starting);
    world.freshness.noteLost('control-1');
    expect(world.state()).toBe(CutOff);
  });
});
