import type { Disposable } from '../src/common/Disposable.js';
import { ClaimReplyVerdict } from '../src/common/Messages.js';
import { BackendState } from '../src/common/Enums.js';
import { ClaimTable } from '../src/control/ClaimTable.js';
import { RaftLog } from '../src/control/raft/RaftLog.js';
import { BackendRecord } from '../src/entry/dispatch/BackendRecord.js';
import { ConcurrencyLimit } from '../src/entry/dispatch/ConcurrencyLimit.js';
import { Quarantine, Standing } from '../src/entry/dispatch/Quarantine.js';
import { SettingsFreshness } from '../src/entry/SettingsFreshness.js';
import { LeaseTable } from '../src/entry/LeaseTable.js';
import { SettingsView } from '../src/entry/SettingsView.js';
import { Promised } from './BrokenPromise.js';

/** Deliberately broken decision that the fuzzer must catch. */
export interface Mutation {
  readonly name: string;
  /** Promises that the broken decision may break. */
  readonly breaks: readonly Promised[];
  /** Breaks the decision until the result is disposed. */
  readonly apply: () => Disposable;
  readonly endsCutAnswersCleanly?: boolean;
}

/** Prototype whose members are replaced by name. */
type Patched = Record<string, unknown>;

/** Replaces a method of a class until disposed. */
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

const nothing: Disposable = { dispose: () => {} };

/** The broken decisions. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: 'claim skipped',
    breaks: [Promised.AtMostOnce],
    apply: () =>
      patch(ClaimTable, 'claim', () => ({
        verdict: ClaimReplyVerdict.Granted,
        answer: null,
        refusal: null,
      })),
  },
  {
    name: 'stale leader accepts',
    breaks: [Promised.InForce, Promised.AtMostOnce, Promised.ZoneOut],
    apply: () => patch(RaftLog, 'quorum', () => 1),
  },
  {
    name: 'lease not awaited',
    breaks: [Promised.Slots, Promised.ColdServers],
    apply: () => {
      const wait = patch(LeaseTable, 'waitMs', () => 0);
      const foreign = patch(LeaseTable, 'countForeign', () => {});
      return {
        dispose: () => {
          wait.dispose();
          foreign.dispose();
        },
      };
    },
  },
  {
    name: 'cold limit ignored',
    breaks: [Promised.ColdServers],
    apply: () =>
      patch(ConcurrencyLimit, 'setSlots', function setSlots(this: ConcurrencyLimit, slots: number) {
        this.current = slots;
      }),
  },
  {
    name: 'truncated answer ended cleanly',
    breaks: [Promised.WholeAnswers],
    apply: () => nothing,
    endsCutAnswersCleanly: true,
  },
  {
    name: 'old configuration applied',
    breaks: [Promised.InForce],
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
    breaks: [Promised.Leaving],
    apply: () =>
      patch(BackendRecord, 'isLeased', function isLeased(this: BackendRecord, nowMs: number) {
        return (
          !this.released &&
          this.state !== BackendState.Stopped &&
          nowMs < this.leaseUntilMs &&
          nowMs >= this.usableFromMs
        );
      }),
  },
  {
    name: 'served without being current',
    breaks: [Promised.InForce, Promised.ZoneOut],
    apply: () => patch(SettingsFreshness, 'currentForMs', () => 1_000),
  },
  {
    name: 'quarantine skipped',
    breaks: [Promised.Killers],
    apply: () => patch(Quarantine, 'standingOf', () => Standing.Clear),
  },
];
