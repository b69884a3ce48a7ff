import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { ExitCode, printFailure } from '../bin/Program.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { AdminClient } from './AdminClient.js';

const EXIT_CODES: Partial<Record<ErrorKind, ExitCode>> = {
  [ErrorKind.Conflict]: ExitCode.Conflict,
  [ErrorKind.NoQuorum]: ExitCode.Unavailable,
};

/** Base class of the commands, with their common options and output. */
export abstract class CtlCommand extends Command {
  admin = Option.String('--admin', {
    description: 'Administration addresses of the control hosts, comma-separated (EGRET_ADMIN)',
  });

  tokenFile = Option.String('--token-file', {
    description: 'File that holds the bearer token (EGRET_TOKEN_FILE)',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  /** Executes the command; thrown errors are mapped to exit codes. */
  protected abstract run(): Promise<void>;

  async execute(): Promise<number> {
    try {
      await this.run();
      return ExitCode.Ok;
    } catch (error) {
      printFailure(error);
      return error instanceof EgretError
        ? (EXIT_CODES[error.kind] ?? ExitCode.Failed)
        : ExitCode.Failed;
    }
  }

  /** Creates a client from the options or the environment. */
  protected client(): AdminClient {
    const admin = this.admin ?? process.env.EGRET_ADMIN;
    const tokenFile = this.tokenFile ?? process.env.EGRET_TOKEN_FILE;
    if (!admin) throw new EgretError(ErrorKind.BadRequest, 'Specify --admin or set EGRET_ADMIN.');
    if (!tokenFile) {
      throw new EgretError(ErrorKind.BadRequest, 'Specify --token-file or set EGRET_TOKEN_FILE.');
    }
    return new AdminClient({
      addresses: admin.split(','),
      token: readFileSync(tokenFile, 'utf8').trim(),
    });
  }

  /** Prints the value as JSON with `--json`, otherwise the lines. */
  protected print(value: unknown, lines: readonly string[]): void {
    const text = this.json ? JSON.stringify(value, null, 2) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
  }
}

/** Renders rows as aligned columns. */
export function renderTable(header: readonly string[], rows: readonly (readonly string[])[]) {
  const all = [header, ...rows];
  const widths = header.map((cell, column) =>
    Math.max(...all.map((row) => row[column]?.length ?? 0)),
  );
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
