import { readFileSync } from 'node:fs';
import { Builtins, Cli, type CommandClass } from 'clipanion';
import { toEgretError, ErrorKind } from '../common/Errors.js';
import { earlySignals } from '../runtime/EarlySignals.js';
import type { Logger } from '../runtime/Logger.js';
import { faultFields, onUnhandledFault } from '../runtime/ProcessFaults.js';
import { ProcessLimits } from '../runtime/ProcessLimits.js';

/** Exit codes of every program. */
export enum ExitCode {
  Ok = 0,
  /** Refused request, invalid settings or wrong usage. */
  Failed = 1,
  /** The change conflicts with another change or with the current state. */
  Conflict = 3,
  /** No control host with a majority answered. */
  Unavailable = 4,
}

/** Returns the version in `package.json`. */
export function packageVersion(): string {
  const file = new URL('../../../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as { version: string }).version;
}

/** Runs the commands of one program and sets the exit code. */
export async function runProgram(
  name: string,
  label: string,
  commands: readonly CommandClass[],
): Promise<void> {
  const cli = new Cli({ binaryName: name, binaryLabel: label, binaryVersion: packageVersion() });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  commands.forEach((command) => cli.register(command));
  process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
}

/** Prints the kind and the message of an error to standard error. */
export function printFailure(error: unknown): void {
  const failure = toEgretError(error, ErrorKind.BadRequest);
  process.stderr.write(`${failure.kind}: ${failure.message}\n`);
}

/** Logs an exception or rejection that nothing handles, and exits the process. */
export function handleFaults(logger: Pick<Logger, 'error'>): void {
  onUnhandledFault((error, origin) => {
    logger.error('process_failed', faultFields(error, origin));
    process.exit(ExitCode.Failed);
  });
}

/** Creates the limits of this process for what its clients make it hold. */
export function createLimits(logger: Pick<Logger, 'warn'>): ProcessLimits {
  return new ProcessLimits({
    onEnded: (port, { limit, peer, heldBytes }) =>
      logger.warn('connection_limited', { port, limit, peer, heldBytes }),
  });
}

/**
 * Runs `stop` once, on the first SIGTERM or SIGINT, and then exits the process. SIGHUP is logged and
 * changes nothing: these programs read their files at the start only.
 *
 * @example
 * handleSignals(logger, () => server.stop());
 */
export function handleSignals(logger: Pick<Logger, 'info'>, stop: () => Promise<void>): void {
  earlySignals.attach({
    stop: () => {
      stop().then(
        () => process.exit(ExitCode.Ok),
        (error: unknown) => {
          printFailure(error);
          process.exit(ExitCode.Failed);
        },
      );
    },
    reload: () => logger.info('reload_unsupported'),
  });
}
