import { renderTable } from '../src/ctl/CtlCommand.js';

/** Row of a bench: figures by column name. */
export type BenchRow = Readonly<Record<string, string | number>>;

function format(value: string | number): string {
  if (typeof value === 'string' || Number.isInteger(value)) return String(value);
  return value.toFixed(3);
}

/** Prints rows as a table. */
export function printTable(rows: readonly BenchRow[]): void {
  const header = Object.keys(rows[0] ?? {});
  const cells = rows.map((row) => header.map((name) => format(row[name] ?? '')));
  process.stdout.write(`${renderTable(header, cells).join('\n')}\n`);
}

/** Prints the result line that ends a bench. */
export function printResult(name: string, figures: BenchRow): void {
  const pairs = Object.entries(figures).map(([key, value]) => `${key}=${format(value)}`);
  process.stdout.write(`result name=${name} ${pairs.join(' ')}\n`);
}
