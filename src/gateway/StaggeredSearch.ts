/** Options of {@link findAcceptable}. */
export interface StaggeredSearchOptions<T> {
  /** Candidates in the order in which they are evaluated. */
  readonly candidates: readonly T[];
  /** True if a candidate is acceptable. */
  readonly evaluate: (candidate: T) => boolean | Promise<boolean>;
  /** Time after which the next candidate is evaluated although the last one is not yet. */
  readonly staggerMs: number;
  readonly setTimer: (delayMs: number, fire: () => void) => () => void;
}

/**
 * Evaluates candidates one after the other and resolves with the first acceptable one, or null once
 * all have been evaluated. A slow evaluation delays the next one only by `staggerMs`, as when
 * connections to several addresses are tried (RFC 8305, section 5). Errors count as not acceptable.
 *
 * @example
 * await findAcceptable({ candidates, evaluate: (view) => probe(view), staggerMs: 5, setTimer });
 */
export function findAcceptable<T>(options: StaggeredSearchOptions<T>): Promise<T | null> {
  const { candidates, evaluate, staggerMs, setTimer } = options;
  return new Promise((resolve) => {
    const left = [...candidates];
    let pending = 0;
    let isDone = false;
    let cancelTimer = () => {};
    const finish = (found: T | null) => {
      isDone = true;
      cancelTimer();
      resolve(found);
    };
    const startNext = (): void => {
      cancelTimer();
      if (isDone) return;
      const candidate = left.shift();
      if (candidate === undefined) {
        if (pending === 0) finish(null);
        return;
      }
      const noteResult = (isAcceptable: boolean) => {
        pending -= 1;
        if (isDone) return;
        if (isAcceptable) finish(candidate);
        else startNext();
      };
      pending += 1;
      const result = evaluate(candidate);
      if (typeof result === 'boolean') {
        noteResult(result);
        return;
      }
      result.then(noteResult, () => noteResult(false));
      if (left.length > 0) cancelTimer = setTimer(staggerMs, startNext);
    };
    startNext();
  });
}
