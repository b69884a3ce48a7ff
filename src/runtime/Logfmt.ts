/** Values of one log line. */
export type LogfmtFields = Readonly<Record<string, string | number | boolean | undefined>>;

const NEEDS_QUOTES = /[\s"=]/;

/** Quotes a text where a reader of key=value pairs needs it. */
export function quoteValue(text: string): string {
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/**
 * Formats fields as key=value pairs; those without a value are left out.
 *
 * @example
 * formatPairs({ port: 80, reason: 'a b' }); // 'port=80 reason="a b"'
 */
export function formatPairs(fields: LogfmtFields, numberText: (value: number) => string): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => {
      const text = typeof value === 'number' ? numberText(value) : String(value);
      return `${key}=${quoteValue(text)}`;
    })
    .join(' ');
}
