import { createRandom, pickIndex, type RandomSource } from '../../src/common/Random.js';
import { Caller } from '../../standin/Caller.js';
import type { LoadStream, RunLoadParams, StreamResult } from './Protocol.js';

/** Running stream with its results so far. */
interface RunningStream {
  readonly stream: LoadStream;
  readonly latenciesMs: number[];
  refusedNotRun: number;
  failed: number;
  readonly failures: Record<string, number>;
  /** Time at which the next call is due. */
  dueMs: number;
}

const MS_PER_SECOND = 1000;
const OK_STATUS = 200;
const CALLERS_PER_PROCESS = 8;

/** Fills the directory caches of the callers before the measurement starts. */
async function prefetchDirectory(params: RunLoadParams, callers: readonly Caller[]): Promise<void> {
  if (params.direct) return;
  await Promise.all(
    callers.flatMap((caller) => params.streams.map((stream) => caller.directory(stream.service))),
  );
}

/** Draws the time to the next arrival of a Poisson process. */
function interarrivalMs(stream: LoadStream, random: RandomSource): number {
  return (-Math.log(1 - random.next()) * MS_PER_SECOND) / stream.ratePerSecond;
}

/** Sends one call and records its result. */
async function send(
  params: RunLoadParams,
  caller: Caller,
  item: RunningStream,
  dueMs: number,
): Promise<void> {
  const path = params.path ?? '/records/1';
  try {
    const answer = await caller.call({
      service: params.direct ? '' : item.stream.service,
      path,
      via: params.direct,
      headers: { 'Egret-Caller': item.stream.callerId },
    });
    if (answer.statusCode === OK_STATUS && answer.complete) {
      item.latenciesMs.push(performance.now() - dueMs);
      return;
    }
    if (answer.headers['egret-outcome'] === 'not-run') item.refusedNotRun += 1;
    else item.failed += 1;
    const kind = /"kind":"([^"]+)"/.exec(answer.text)?.[1] ?? '';
    const label = `${answer.statusCode}${kind}${answer.complete ? '' : '-cut'}`;
    item.failures[label] = (item.failures[label] ?? 0) + 1;
  } catch (error) {
    item.failed += 1;
    const label = (error as NodeJS.ErrnoException).code ?? 'error';
    item.failures[label] = (item.failures[label] ?? 0) + 1;
  }
}

/** Open-loop load generator in a bench process. */
export class LoadRole {
  private readonly callers = new Map<string, Caller[]>();

  readonly methods = {
    run: (params: RunLoadParams) => this.run(params),
  };

  private async run(params: RunLoadParams): Promise<StreamResult[]> {
    const random = createRandom(params.seed);
    const callers = this.ensureCallers(params);
    await prefetchDirectory(params, callers);
    const startMs = performance.now();
    const running = params.streams.map<RunningStream>((stream) => ({
      stream,
      latenciesMs: [],
      refusedNotRun: 0,
      failed: 0,
      failures: {},
      dueMs: startMs + interarrivalMs(stream, random),
    }));
    const openCalls = new Set<Promise<void>>();
    await new Promise<void>((resolve) => {
      // Polls in every turn of the event loop: a timer would bunch the arrivals.
      const sendDueCalls = () => {
        const nowMs = performance.now();
        running.forEach((item) => {
          while (item.dueMs <= nowMs && item.dueMs < startMs + params.durationMs) {
            const caller = callers[pickIndex(random, callers.length)]!;
            const call = send(params, caller, item, item.dueMs);
            openCalls.add(call);
            call.finally(() => openCalls.delete(call)).catch(() => {});
            item.dueMs += interarrivalMs(item.stream, random);
          }
        });
        if (nowMs >= startMs + params.durationMs) resolve();
        else setImmediate(sendDueCalls);
      };
      sendDueCalls();
    });
    await Promise.all(openCalls);
    return running.map(({ stream, latenciesMs, refusedNotRun, failed, failures }) => ({
      service: stream.service,
      callerId: stream.callerId,
      latenciesMs,
      refusedNotRun,
      failed,
      failures,
    }));
  }

  /** Returns callers that keep their connections between runs with equal parameters. */
  private ensureCallers(params: RunLoadParams): Caller[] {
    const key = JSON.stringify([params.seeds, params.zones, params.asksByService, params.direct]);
    const existing = this.callers.get(key);
    if (existing) return existing;
    const zones = [...params.zones];
    const callers = Array.from(
      { length: CALLERS_PER_PROCESS },
      (unused, index) =>
        new Caller({
          id: `load-${index}`,
          seeds: params.seeds,
          availabilityZone: zones[index % Math.max(1, zones.length)],
          asksByService: params.asksByService,
          hashes: false,
        }),
    );
    this.callers.set(key, callers);
    return callers;
  }
}
