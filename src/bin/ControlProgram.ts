import path from 'node:path';
import { Command, Option } from 'clipanion';
import { ProgramKind } from '../common/ProcessSettings.js';
import { ControlServer } from '../control/server/ControlServer.js';
import { createLogger } from '../runtime/Logger.js';
import { FaultOrigin, faultFields } from '../runtime/ProcessFaults.js';
import { loadSecret, loadSettingsFile } from '../runtime/SettingsFile.js';
import {
  createLimits,
  ExitCode,
  handleFaults,
  handleSignals,
  printFailure,
  runProgram,
} from './Program.js';

/** Command that runs a control host, which keeps the replicated state. */
class ControlCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Runs a control host.',
    details:
      'Without --initialize an empty data folder is rejected, so that a voter that lost its disk ' +
      'does not vote again. Exit codes: 0 after a planned stop, 1 on a failure.',
    examples: [
      ['First start of a member', 'egret-control --settings control.jsonc --initialize'],
      ['Every other start', 'egret-control --settings control.jsonc'],
    ],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'Settings file, JSON with comments',
  });

  initialize = Option.Boolean('--initialize', false, {
    description: 'Create an identity in an empty data folder; only for a new member',
  });

  async execute(): Promise<number> {
    try {
      const file = loadSettingsFile(this.settings, ProgramKind.Control);
      const secret = loadSecret(file.secretFile, this.settings);
      const logger = createLogger({ level: file.logLevel, base: { program: 'egret-control' } });
      handleFaults(logger);
      const dataFolder = path.resolve(path.dirname(this.settings), file.dataFolder);
      const limits = createLimits(logger);
      const server = await ControlServer.open({
        file: { ...file, dataFolder },
        secret,
        logger,
        initialize: this.initialize,
        protect: limits.protect,
        onFatal: (error) => {
          logger.error('process_failed', faultFields(error, FaultOrigin.State));
          process.exit(ExitCode.Failed);
        },
      });
      limits.register(server.registry);
      handleSignals(logger, () => server.stop());
      await server.start();
      return ExitCode.Ok;
    } catch (error) {
      printFailure(error);
      return ExitCode.Failed;
    }
  }
}

await runProgram('egret-control', 'egretcourse control host', [ControlCommand]);
