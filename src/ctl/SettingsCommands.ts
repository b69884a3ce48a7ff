import { readFileSync } from 'node:fs';
import { Option } from 'clipanion';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { parseJsonc } from '../common/Jsonc.js';
import { checkProcessFile } from '../common/ProcessSettings.js';
import { AdminRequestType } from '../control/Types.js';
import { hashToken } from '../runtime/LinkAuth.js';
import { sendChange, type SettingsValue } from './ChangeSender.js';
import { CtlCommand } from './CtlCommand.js';

/** Parses a command-line value as JSON; text that is not JSON is taken as a string. */
function parseValue(text: string): unknown {
  const parsed = parseJsonc(text);
  return parsed.isOk ? parsed.value : text;
}

/** Lists the paths at which two values differ. */
export function diffValues(path: string, from: unknown, to: unknown): string[] {
  const isObject = (value: unknown): value is Record<string, unknown> =>
    typeof value === 'object' && value !== null && !Array.isArray(value);
  if (isObject(from) && isObject(to)) {
    const keys = new Set([...Object.keys(from), ...Object.keys(to)]);
    return [...keys].sort().flatMap((key) => diffValues(`${path}/${key}`, from[key], to[key]));
  }
  const before = JSON.stringify(from);
  const after = JSON.stringify(to);
  return before === after ? [] : [`${path}: ${before ?? 'unset'} -> ${after ?? 'unset'}`];
}

/** `egretctl settings get PATH` */
export class SettingsGetCommand extends CtlCommand {
  static override paths = [['settings', 'get']];

  static override usage = CtlCommand.Usage({ description: 'Shows the settings at a path.' });

  settingsPath = Option.String();

  protected async run(): Promise<void> {
    const type = AdminRequestType.GetSettings;
    const current = await this.client().send<SettingsValue>({ type, path: this.settingsPath });
    this.print(current, [
      `revision=${current.revision} subtreeRevision=${current.subtreeRevision}`,
      JSON.stringify(current.value, null, 2),
    ]);
  }
}

/** `egretctl settings set PATH VALUE` */
export class SettingsSetCommand extends CtlCommand {
  static override paths = [['settings', 'set']];

  static override usage = CtlCommand.Usage({
    description: 'Changes the value at a path; null removes it.',
    details: 'Exit codes: 0 accepted, 1 refused, 3 conflict, 4 no majority.',
    examples: [
      ['Raise a queue limit', 'egretctl settings set /teams/otaru/services/ledger/queueMax 99'],
    ],
  });

  settingsPath = Option.String();

  value = Option.String();

  base = Option.String('--base', {
    description: 'Expected revision of the subtree',
  });

  changeId = Option.String('--change-id', {
    description: 'Id of the change; sending it again with this id is safe',
  });

  protected async run(): Promise<void> {
    const change = await sendChange(this.client(), {
      path: this.settingsPath,
      value: parseValue(this.value),
      baseRevision: this.base === undefined ? undefined : Number(this.base),
      changeId: this.changeId,
    });
    this.print(change, [`accepted revision=${change.revision} changeId=${change.changeId}`]);
  }
}

/** `egretctl settings diff PATH FILE` */
export class SettingsDiffCommand extends CtlCommand {
  static override paths = [['settings', 'diff']];

  static override usage = CtlCommand.Usage({
    description: 'Compares the settings at a path with a JSON file.',
  });

  settingsPath = Option.String();

  file = Option.String();

  protected async run(): Promise<void> {
    const type = AdminRequestType.GetSettings;
    const current = await this.client().send<SettingsValue>({ type, path: this.settingsPath });
    const parsed = parseJsonc(readFileSync(this.file, 'utf8'));
    if (parsed.isErr) {
      throw new EgretError(ErrorKind.InvalidSettings, `${this.file}: ${parsed.error[0]?.message}.`);
    }
    const differences = diffValues(this.settingsPath, current.value, parsed.value);
    this.print({ differences }, differences.length > 0 ? differences : ['no differences']);
  }
}

/** `egretctl check FILE` */
export class CheckCommand extends CtlCommand {
  static override paths = [['check']];

  static override usage = CtlCommand.Usage({
    description: 'Checks a settings file and lists every fault with its path and remedy.',
    details: 'Exit codes: 0 valid, 1 faults found. Contacts no control host.',
  });

  file = Option.String();

  protected async run(): Promise<void> {
    const checked = checkProcessFile(readFileSync(this.file, 'utf8'));
    if (checked.isOk) {
      this.print({ faults: [] }, [`${this.file}: valid ${checked.value.program} settings`]);
      return;
    }
    const faults = checked.error;
    this.print(
      { faults },
      faults.map((fault) => `${fault.path}: ${fault.message}. ${fault.remedy}`),
    );
    throw new EgretError(ErrorKind.InvalidSettings, `${faults.length} faults in ${this.file}.`);
  }
}

/** `egretctl hash-token` */
export class HashTokenCommand extends CtlCommand {
  static override paths = [['hash-token']];

  static override usage = CtlCommand.Usage({
    description: 'Prints the hash of the token in a file, as the settings tree stores it.',
  });

  file = Option.String();

  protected async run(): Promise<void> {
    const hash = hashToken(readFileSync(this.file, 'utf8').trim());
    this.print({ hash }, [hash]);
  }
}
