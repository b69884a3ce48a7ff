import type { Usage, UsageColumns } from './Types.js';

interface Totals {
  admitted: number;
  refused: number;
  sentAdmitted: number;
  sentRefused: number;
}

/** Counts of one sender since its start, with what its last message included. */
export class UsageTotals {
  private readonly totals = new Map<string, Totals>();

  private readonly changed = new Set<string>();

  /** True if a count has changed since the last {@link take}. */
  get hasChanges(): boolean {
    return this.changed.size > 0;
  }

  add(customer: string, { admitted, refused }: Usage): void {
    let totals = this.totals.get(customer);
    if (!totals) {
      totals = { admitted: 0, refused: 0, sentAdmitted: 0, sentRefused: 0 };
      this.totals.set(customer, totals);
    }
    totals.admitted += admitted;
    totals.refused += refused;
    this.changed.add(customer);
  }

  /** Counts that changed since the last call. */
  take(): UsageColumns {
    const columns = this.columns([...this.changed]);
    this.changed.forEach((customer) => {
      const row = this.totals.get(customer)!;
      row.sentAdmitted = row.admitted;
      row.sentRefused = row.refused;
    });
    this.changed.clear();
    return columns;
  }

  /** All counts; those since the last {@link take} remain to be taken. */
  whole(): UsageColumns {
    return this.columns([...this.totals.keys()]);
  }

  private columns(customers: readonly string[]): UsageColumns {
    const rows = customers.map((customer) => this.totals.get(customer)!);
    return {
      customers,
      admitted: rows.map(({ admitted }) => admitted),
      refused: rows.map(({ refused }) => refused),
      admittedDelta: rows.map(({ admitted, sentAdmitted }) => admitted - sentAdmitted),
      refusedDelta: rows.map(({ refused, sentRefused }) => refused - sentRefused),
    };
  }
}
