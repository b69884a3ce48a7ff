import { Command, Option } from 'clipanion';
import { ExitCode, runProgram } from '../src/bin/Program.js';
import { renderTrace, runFuzz } from './Runner.js';

/** Longer fuzz runs than the tests have time for. */
class FuzzCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Fuzzes the reducers against the oracle of the promises.',
    details: 'Exit codes: 0 clean, 1 a promise was broken; prints the seed and a shrunk trace.',
  });

  seed = Option.String('--seed', '1', { description: 'Seed of the run' });

  runs = Option.String('--runs', '200', { description: 'Worlds to try' });

  async execute(): Promise<number> {
    const seed = Number(this.seed);
    const startedAtMs = performance.now();
    const result = await runFuzz({ seed, runs: Number(this.runs) });
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(1);
    if (result.failed) this.context.stdout.write(`${renderTrace(result)}\n`);
    this.context.stdout.write(
      `result name=fuzz seed=${seed} runs=${result.runs} failed=${result.failed} seconds=${seconds}\n`,
    );
    return result.failed ? ExitCode.Failed : ExitCode.Ok;
  }
}

await runProgram('fuzz', 'egretcourse fuzzer', [FuzzCommand]);
