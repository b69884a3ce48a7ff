/** Limit that one incarnation of a backend server named. */
export interface NamedLimit {
  readonly bornMs: number;
  /** Requests per second that it accepts from all entry hosts together. */
  readonly perSecond: number;
  /** Time of the last answer or report that named it. */
  readonly confirmedAtMs: number;
}

/** Incarnation of a backend server. */
export interface Incarnation {
  readonly id: string;
  readonly bornMs: number;
}

/** Options of {@link NamedLimits}. */
export interface NamedLimitsOptions {
  /** True if the incarnation is known; limits of others are dropped. */
  readonly isKnown: (incarnation: Incarnation) => boolean;
}

/** Number of limits above which those of ended incarnations are dropped. */
const UNKNOWN_KEPT_MAX = 64;

/** Request limits that backend servers have named, by incarnation. */
export class NamedLimits {
  private readonly limits = new Map<string, NamedLimit>();

  constructor(private readonly options: NamedLimitsOptions) {}

  /** Limit of the incarnation; undefined if it names none. */
  get({ id, bornMs }: Incarnation): NamedLimit | undefined {
    const limit = this.limits.get(id);
    return limit?.bornMs === bornMs ? limit : undefined;
  }

  /** Sets or confirms a limit; ignored if a newer incarnation has named one. */
  set({ id, bornMs }: Incarnation, perSecond: number, nowMs: number): void {
    if ((this.limits.get(id)?.bornMs ?? bornMs) > bornMs) return;
    if (!this.limits.has(id)) this.dropUnknown();
    this.limits.set(id, { bornMs, perSecond, confirmedAtMs: nowMs });
  }

  /** Ends a limit; returns false if there was none. */
  end(incarnation: Incarnation): boolean {
    return this.get(incarnation) !== undefined && this.limits.delete(incarnation.id);
  }

  private dropUnknown(): void {
    if (this.limits.size < UNKNOWN_KEPT_MAX) return;
    this.limits.forEach(({ bornMs }, id) => {
      if (!this.options.isKnown({ id, bornMs })) this.limits.delete(id);
    });
  }
}
