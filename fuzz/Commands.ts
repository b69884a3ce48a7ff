import fc from 'fast-check';
import { ZoneState } from '../src/common/Enums.js';
import type { World } from './World.js';
import { ZONES } from './World.js';

/** Kinds of steps of the model-based fuzzer; the values appear in printed traces. */
export enum StepKind {
  Calls = 'calls',
  KeyedCalls = 'orders',
  Resend = 'resend',
  CrashingCall = 'killer',
  Wait = 'wait',
  ZoneOut = 'zone-out',
  ZoneIn = 'zone-in',
  RacingChanges = 'racing-changes',
  CrashEntry = 'crash-entry',
  StopEntry = 'stop-entry',
  StartEntry = 'start-entry',
  CrashControl = 'crash-control',
  StartControl = 'start-control',
  CutControl = 'cut-control',
  CutEntry = 'cut-entry',
  /** Announcements no longer reach the entry host; its calls still reach backend servers. */
  BlockAnnouncements = 'deaf-entry',
  Heal = 'heal',
  CrashBackend = 'crash-backend',
  RestartBackend = 'restart-backend',
  DrainBackend = 'drain-backend',
  Shed = 'shed',
  TruncateAnswers = 'cut-answers',
  ClearFaults = 'behave',
}

/** Step with a number that selects its target; a plain value, so that a trace can be printed. */
export interface Step {
  readonly kind: StepKind;
  readonly pick: number;
}

/** State of a run that is not part of the world. */
interface RunState {
  readonly world: World;
  readonly keys: string[];
  changes: number;
}

const BURST_CALLS = 24;
const BURST_SPACING_MS = 2;
const KEYED_CALLS = 3;
const STEP_MS = 400;
const MAX_CONTROLS_DOWN = 1;

/** Runs an action several times, {@link BURST_SPACING_MS} apart. */
function burst({ world }: RunState, count: number, action: (index: number) => void): void {
  for (let index = 0; index < count; index += 1) {
    world.timeline.after(index * BURST_SPACING_MS, () => action(index));
  }
}

function changeZone(state: RunState, pick: number, newState: ZoneState): void {
  state.changes += 1;
  const zone = ZONES[pick % ZONES.length]!;
  const other = ZONES[(pick + 1) % ZONES.length]!;
  // At least one zone must stay open.
  if (newState === ZoneState.Out)
    state.world.changeZone(pick, other, ZoneState.In, `o${state.changes}`);
  const leader = state.world.controls.findIndex((control) => control.reducer.raft.isLeader);
  state.world.changeZone(Math.max(0, leader), zone, newState, `change-${state.changes}`);
}

const STEPS: Record<StepKind, (state: RunState, pick: number) => void> = {
  [StepKind.Calls]: (state, pick) =>
    burst(state, BURST_CALLS, (index) => state.world.call(pick + index)),
  [StepKind.KeyedCalls]: (state, pick) =>
    burst(state, KEYED_CALLS, (index) => {
      const key = state.world.createKey();
      state.keys.push(key);
      state.world.call(pick + index, { key });
      state.world.call(pick + index + 1, { key });
    }),
  [StepKind.Resend]: (state, pick) => {
    const key = state.keys[pick % Math.max(1, state.keys.length)];
    if (key) burst(state, 2, (index) => state.world.call(pick + index, { key }));
  },
  [StepKind.CrashingCall]: ({ world }, pick) => {
    world.call(pick, { crashesBackend: true });
  },
  [StepKind.Wait]: () => {},
  [StepKind.ZoneOut]: (state, pick) => changeZone(state, pick, ZoneState.Out),
  [StepKind.ZoneIn]: (state, pick) => changeZone(state, pick, ZoneState.In),
  [StepKind.RacingChanges]: (state, pick) => {
    const zone = ZONES[pick % ZONES.length]!;
    state.world.controls.forEach((control, index) => {
      state.changes += 1;
      state.world.changeZone(index, zone, ZoneState.In, `race-${state.changes}`);
    });
  },
  [StepKind.CrashEntry]: ({ world }, pick) => {
    const entry = world.entries[pick % world.entries.length]!;
    if (world.entries.filter((item) => item.alive).length > 1) entry.crash();
  },
  [StepKind.StopEntry]: ({ world }, pick) => {
    const entry = world.entries[pick % world.entries.length]!;
    if (world.entries.filter((item) => item.serving).length > 1) entry.stop();
  },
  [StepKind.StartEntry]: ({ world }) =>
    world.entries.filter((entry) => !entry.alive).forEach((entry) => entry.start()),
  [StepKind.CrashControl]: ({ world }, pick) => {
    const down = world.controls.filter((control) => !control.alive).length;
    if (down < MAX_CONTROLS_DOWN) world.controls[pick % world.controls.length]!.crash();
  },
  [StepKind.StartControl]: ({ world }) =>
    world.controls.filter((control) => !control.alive).forEach((control) => control.start()),
  [StepKind.CutControl]: ({ world }, pick) => {
    const leader = world.controls.find((control) => control.reducer.raft.isLeader);
    const control = pick % 2 === 0 && leader ? leader : world.controls[pick % 3]!;
    const nearbyEntry = world.entries[pick % world.entries.length]!;
    world.network.cut([control.options.id, nearbyEntry.options.id], 1);
  },
  [StepKind.CutEntry]: ({ world }, pick) =>
    world.network.cut([world.entries[pick % world.entries.length]!.options.id], 2),
  [StepKind.BlockAnnouncements]: ({ world }, pick) => {
    world.announcementsBlockedAt.add(world.entries[pick % world.entries.length]!.options.id);
  },
  [StepKind.Heal]: ({ world }) => world.heal(),
  [StepKind.CrashBackend]: ({ world }, pick) =>
    world.backends[pick % world.backends.length]!.crash(),
  [StepKind.RestartBackend]: ({ world }, pick) =>
    world.backends[pick % world.backends.length]!.restart(),
  [StepKind.DrainBackend]: ({ world }, pick) =>
    world.backends[pick % world.backends.length]!.drain(),
  [StepKind.Shed]: ({ world }, pick) => {
    world.backends[pick % world.backends.length]!.sheds = true;
  },
  [StepKind.TruncateAnswers]: ({ world }, pick) => {
    world.backends[pick % world.backends.length]!.truncatesAnswers = true;
  },
  [StepKind.ClearFaults]: ({ world }) =>
    world.backends.forEach((backend) => {
      backend.sheds = false;
      backend.truncatesAnswers = false;
    }),
};

/** Relative probability of each step; 1 by default. */
const WEIGHTS: Partial<Record<StepKind, number>> = {
  [StepKind.Calls]: 8,
  [StepKind.KeyedCalls]: 5,
  [StepKind.Resend]: 4,
  [StepKind.Wait]: 3,
  [StepKind.RestartBackend]: 3,
  [StepKind.StartEntry]: 2,
  [StepKind.StartControl]: 2,
  [StepKind.Heal]: 2,
  [StepKind.BlockAnnouncements]: 2,
};

const MAX_PICK = 11;
const MAX_STEPS = 40;

/** Draws sequences of steps. */
export const stepsArbitrary: fc.Arbitrary<Step[]> = fc.array(
  fc.record({
    kind: fc.oneof(
      ...Object.values(StepKind).map((kind) => ({
        weight: WEIGHTS[kind] ?? 1,
        arbitrary: fc.constant(kind),
      })),
    ),
    pick: fc.nat({ max: MAX_PICK }),
  }),
  { minLength: 5, maxLength: MAX_STEPS, size: 'max' },
);

const RECOVERY_MS = 8_000;

/** Runs the steps in a world, ends all faults, and checks the invariants of a recovered system. */
export function runSteps(world: World, steps: readonly Step[]): void {
  const state: RunState = { world, keys: [], changes: 0 };
  world.settle();
  steps.forEach(({ kind, pick }) => {
    STEPS[kind](state, pick);
    world.run(STEP_MS);
  });
  world.heal();
  STEPS[StepKind.StartControl](state, 0);
  STEPS[StepKind.StartEntry](state, 0);
  STEPS[StepKind.ClearFaults](state, 0);
  world.run(RECOVERY_MS);
  world.checkHealed();
}
