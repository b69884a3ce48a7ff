/**
 * Reads `--name value` from the arguments of a bench.
 *
 * @example
 * readOption(['--use', '70'], '--use', '50'); // '70'
 */
export function readOption(args: readonly string[], name: string, fallback: string): string {
  const index = args.indexOf(name);
  return index >= 0 ? (args[index + 1] ?? fallback) : fallback;
}
