import { parse, printParseErrorCode, type ParseError } from 'jsonc-parser';
import Result from 'true-myth/result';
import type { SettingsFault } from './SettingsTree.js';

/**
 * Parses JSON with comments and lists every syntax error as a fault.
 *
 * @example
 * parseJsonc('{ "a": 1 } // comment').isOk; // true
 */
export function parseJsonc(text: string): Result<unknown, SettingsFault[]> {
  const errors: ParseError[] = [];
  const document: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length === 0) return Result.ok(document);
  return Result.err(
    errors.map((error) => ({
      path: `offset ${error.offset}`,
      message: printParseErrorCode(error.error),
      remedy: 'Correct the JSON syntax at this offset.',
    })),
  );
}
