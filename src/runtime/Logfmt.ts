/** Fields of one log line. */
export type LogfmtFields = Readonly<Record<string, string | number | boolean | undefined>>;

const NEEDS_QUOTES = /[\s"=]/;

/** Quotes a value that is empty or contains white space, quotes or equals signs. */
export function quoteValue(text: string): string {
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/**
 * Formats fields as key=value pairs; undefined values are omitted.
 *
 * @example
 * formatLogfmt({ port: 80, reason: 'a b' }, String); // 'port=80 reason="a b"'
 */
export function formatLogfmt(
  fields: LogfmtFields,
  formatNumber: (value: number) => string,
): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => {
      const text = typeof value === 'number' ? formatNumber(value) : String(value);
      return `${key}=${quoteValue(text)}`;
    })
    .join(' ');
}
