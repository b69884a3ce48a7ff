import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { Option } from 'clipanion';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { parseCallLogLine, formatTimeline, type CallLogLine } from './CallTimeline.js';
import { CtlCommand } from './CtlCommand.js';

/** `egretctl explain ID FILE...` */
export class ExplainCommand extends CtlCommand {
  static override paths = [['explain']];

  static override usage = CtlCommand.Usage({
    description:
      'Prints the log lines of one call in order of time, from log files or standard input.',
    examples: [['From two hosts', 'egretctl explain 9c41d07be2a35f68 a.log b.log']],
  });

  callId = Option.String();

  files = Option.Rest();

  protected async run(): Promise<void> {
    const inputs =
      this.files.length > 0 ? this.files.map((file) => createReadStream(file)) : [process.stdin];
    const found: CallLogLine[] = [];
    await Promise.all(
      inputs.map(async (input) => {
        for await (const line of createInterface({ input })) {
          const parsed = parseCallLogLine(line, this.callId);
          if (parsed) found.push(parsed);
        }
      }),
    );
    if (found.length === 0) {
      throw new EgretError(ErrorKind.NotFound, `No log line was found for call ${this.callId}.`);
    }
    this.print(found, formatTimeline(found));
  }
}
