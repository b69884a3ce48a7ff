import type { Usage, UsageColumns } from './Types.js';

/** Totals received from one sender, to which later ones are compared. */
export class ReceivedTotals {
  private readonly totals = new Map<string, Usage>();

  /** Calls that the columns add to what was received before; a repeated message adds none. */
  increments(columns: UsageColumns): ReadonlyMap<string, Usage> {
    return new Map(
      columns.customers.map((customer, index): [string, Usage] => {
        const admitted = columns.admitted[index] ?? 0;
        const refused = columns.refused[index] ?? 0;
        const before = this.totals.get(customer) ?? {
          admitted: admitted - (columns.admittedDelta[index] ?? 0),
          refused: refused - (columns.refusedDelta[index] ?? 0),
        };
        this.totals.set(customer, { admitted, refused });
        return [
          customer,
          { admitted: admitted - before.admitted, refused: refused - before.refused },
        ];
      }),
    );
  }
}
