/**
 * True if a JSON value nests lists and objects deeper than a number of levels. It does not recurse, as
 * the encoders do that such a value would end.
 *
 * @example
 * isNestedDeeper([[1]], 1); // true
 */
export function isNestedDeeper(value: unknown, levelsMax: number): boolean {
  const isNested = (item: unknown) => typeof item === 'object' && item !== null;
  let level = [value].filter(isNested);
  for (let depth = 0; depth < levelsMax && level.length > 0; depth += 1) {
    level = level.flatMap((item) => Object.values(item as object)).filter(isNested);
  }
  return level.length > 0;
}
