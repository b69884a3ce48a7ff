import type { Disposable } from '../src/common/Disposable.js';
import { ClaimReplyVerdict } from '../src/common/Messages.js';
import { BackendLifecycleState } from '../src/common/Enums.js';
import { ClaimTable } from '../src/control/ClaimTable.js';
import { RaftLog } from '../src/control/raft/RaftLog.js';
import { BackendRecord } from '../src/entry/dispatch/BackendRecord.js';
import { ConcurrencyLimit } from '../src/entry/dispatch/ConcurrencyLimit.js';
import { Quarantine, Standing } from '../src/entry/dispatch/Quarantine.js';
import { SettingsFreshness } from '../src/entry/SettingsFreshness.js';
import { LeaseTable } from '../src/entry/LeaseTable.js';
import { SettingsView } from '../src/entry/SettingsView.js';
import { Invariant } from './InvariantViolation.js';

/** Planted defect that the fuzzer must detect. */
export interface Mutation {
  readonly name: string;
  /** Invariants that the defect may violate. */
  readonly violates: readonly Invariant[];
  /** Plants the defect until the result is disposed. */
  readonly apply: () => Disposable;
  readonly endsTruncatedCleanly?: boolean;
}

/** Prototype with access to its members by name. */
type Patched = Record<string, unknown>;

/** Replaces a method or getter of a class until disposed. */
export function patch(type: { prototype: object }, name: string, replacement: unknown): Disposable {
  const prototype = type.prototype as Patched;
  const original = Object.getOwnPropertyDescriptor(prototype, name)!;
  const isGetter = original.get !== undefined;
  Object.defineProperty(
    prototype,
    name,
    isGetter
      ? { ...original, get: replacement as () => unknown }
      : { ...original, value: replacement },
  );
  return { dispose: () => Object.defineProperty(prototype, name, original) };
}

const NO_PATCH: Disposable = { dispose: () => {} };

/** All planted defects. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: 'claim skipped',
    violates: [Invariant.AtMostOnce],
    apply: () =>
      patch(ClaimTable, 'claim', () => ({
        verdict: ClaimReplyVerdict.Granted,
        answer: null,
        refusal: null,
      })),
  },
  {
    name: 'stale leader accepts changes',
    violates: [Invariant.ActiveConfig, Invariant.AtMostOnce, Invariant.ClosedZone],
    apply: () => patch(RaftLog, 'quorum', () => 1),
  },
  {
    name: 'end of the previous lease not awaited',
    violates: [Invariant.Slots, Invariant.ColdLimit],
    apply: () => {
      const waitPatch = patch(LeaseTable, 'waitMs', () => 0);
      const foreignPatch = patch(LeaseTable, 'countForeign', () => {});
      return {
        dispose: () => {
          waitPatch.dispose();
          foreignPatch.dispose();
        },
      };
    },
  },
  {
    name: 'cold limit ignored',
    violates: [Invariant.ColdLimit],
    apply: () =>
      patch(ConcurrencyLimit, 'setSlots', function setSlots(this: ConcurrencyLimit, slots: number) {
        this.current = slots;
      }),
  },
  {
    name: 'truncated answer ended cleanly',
    violates: [Invariant.CompleteAnswers],
    apply: () => NO_PATCH,
    endsTruncatedCleanly: true,
  },
  {
    name: 'old configuration applied',
    violates: [Invariant.ActiveConfig],
    apply: () =>
      patch(SettingsView, 'applyFull', function applyFull(this: SettingsView, message: unknown) {
        const { tree, index, revision } = message as Record<string, unknown>;
        (this as unknown as { replace: (...args: unknown[]) => void }).replace(
          tree,
          index,
          revision,
        );
        return true;
      }),
  },
  {
    name: 'drain ignored',
    violates: [Invariant.Departure],
    apply: () =>
      patch(BackendRecord, 'isLeased', function isLeased(this: BackendRecord, nowMs: number) {
        return (
          !this.released &&
          this.state !== BackendLifecycleState.Stopped &&
          nowMs < this.leaseUntilMs &&
          nowMs >= this.usableFromMs
        );
      }),
  },
  {
    name: 'settings always treated as current',
    violates: [Invariant.ActiveConfig, Invariant.ClosedZone],
    apply: () => patch(SettingsFreshness, 'currentForMs', () => 1_000),
  },
  {
    name: 'quarantine skipped',
    violates: [Invariant.CrashContainment],
    apply: () => patch(Quarantine, 'standingOf', () => Standing.Clear),
  },
];
