import { Command, Option } from 'clipanion';
import { ExitCode, runProgram } from '../src/bin/Program.js';
import { findViolation } from './RoutedRunner.js';
import { runRoutingWorlds } from './RoutingRunner.js';
import { renderTrace, runFuzz } from './Runner.js';

/** Runs the fuzzer for longer than the tests do. */
class FuzzCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Fuzzes the reducers and checks the promised invariants.',
    details:
      'Exit codes: 0 no violation, 1 invariant violated; prints the seed and a shrunk trace.',
  });

  seed = Option.String('--seed', '1', { description: 'Seed of the run' });

  runs = Option.String('--runs', '200', { description: 'Number of worlds to run' });

  routed = Option.Boolean('--routed', false, {
    description: 'Fuzz control hosts and gateways of routed services; each run has its own seed',
  });

  routing = Option.Boolean('--routing', false, {
    description: 'Fuzz the time by which gateways apply changes; each run has its own seed',
  });

  violations = Option.String('--violations', '1', {
    description: 'Number of violations after which --routing ends',
  });

  controls = Option.String('--controls', {
    description: 'Number of control hosts for --routing; three or five by seed without it',
  });

  async execute(): Promise<number> {
    if (this.routing) return this.fuzzRouting();
    return this.routed ? this.fuzzRouted() : this.fuzzCalls();
  }

  private async fuzzRouted(): Promise<number> {
    const first = Number(this.seed);
    const runs = Number(this.runs);
    const violation = await findViolation(first, runs);
    if (violation) this.context.stdout.write(`${violation.message}\n`);
    const failed = violation !== undefined;
    this.context.stdout.write(
      `result name=fuzz-routed seed=${first} runs=${runs} failed=${failed}\n`,
    );
    return failed ? ExitCode.Failed : ExitCode.Ok;
  }

  private async fuzzRouting(): Promise<number> {
    const first = Number(this.seed);
    const runs = Number(this.runs);
    const found = await runRoutingWorlds(first, runs, {
      violationsMax: Number(this.violations),
      controls: this.controls === undefined ? undefined : Number(this.controls),
    });
    const { violations, simulatedMs, confirmed, checks, refusing, cutOff } = found;
    violations.forEach(({ message }) => this.context.stdout.write(`${message}\n`));
    this.context.stdout.write(
      `result name=fuzz-routing seed=${first} runs=${runs} violations=${violations.length} ` +
        `simulatedS=${Math.round(simulatedMs / 1_000)} confirmed=${confirmed} checks=${checks} ` +
        `refusing=${refusing} cutOff=${cutOff}\n`,
    );
    return violations.length > 0 ? ExitCode.Failed : ExitCode.Ok;
  }

  private async fuzzCalls(): Promise<number> {
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
