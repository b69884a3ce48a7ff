import type { RandomSource } from '../common/Random.js';
import type { EntryHost } from '../common/Placement.js';
import { CounterName, EntryEffectType, type EntryEffect } from './Types.js';

/** State that the parts of the reducer share while they handle one event. */
export class EntryContext {
  /** Monotonic time of the current event. */
  nowMs = 0;

  /** Time by which every call is to be answered in a planned stop. */
  answerByMs = Number.POSITIVE_INFINITY;

  /** Effects of the current event, in order. */
  private effects: EntryEffect[] = [];

  constructor(
    /** This entry host; replaced when a planned stop begins. */
    public self: EntryHost,
    readonly random: RandomSource,
    /** Distinguishes this run of the process from earlier ones. */
    readonly bootId: string,
  ) {}

  emit(effect: EntryEffect): void {
    this.effects.push(effect);
  }

  count(counter: CounterName, service: string): void {
    this.effects.push({ type: EntryEffectType.Count, counter, service });
  }

  log(event: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.effects.push({ type: EntryEffectType.Log, event, fields });
  }

  /** Starts an event. */
  begin(nowMs: number): void {
    this.nowMs = nowMs;
    this.effects = [];
  }

  /** Ends an event and returns its effects. */
  takeEffects(): EntryEffect[] {
    return this.effects;
  }
}
