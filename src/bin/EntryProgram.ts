import { Command, Option } from 'clipanion';
import { ProgramKind } from '../common/ProcessSettings.js';
import { EntryServer } from '../entry/server/EntryServer.js';
import { createLogger } from '../runtime/Logger.js';
import { loadSecret, loadSettingsFile } from '../runtime/SettingsFile.js';
import {
  createLimits,
  ExitCode,
  handleFaults,
  handleSignals,
  printFailure,
  runProgram,
} from './Program.js';

/** Command that runs an entry host, which serves callers. */
class EntryCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Runs an entry host.',
    details: 'Exit codes: 0 after a planned stop, 1 if the settings or listeners fail.',
    examples: [['Run with a settings file', 'egret-entry --settings /etc/egret/entry.jsonc']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'Settings file, JSON with comments',
  });

  async execute(): Promise<number> {
    try {
      const file = loadSettingsFile(this.settings, ProgramKind.Entry);
      const secret = loadSecret(file.secretFile, this.settings);
      const logger = createLogger({ level: file.logLevel, base: { program: 'egret-entry' } });
      handleFaults(logger);
      const limits = createLimits(logger);
      const { protect } = limits;
      const server = await EntryServer.open({ file, secret, logger, protect });
      limits.register(server.registry);
      handleSignals(logger, () => server.stop());
      server.start();
      return ExitCode.Ok;
    } catch (error) {
      printFailure(error);
      return ExitCode.Failed;
    }
  }
}

await runProgram('egret-entry', 'egretcourse entry host', [EntryCommand]);
