import { readFileSync } from 'node:fs';
import path from 'node:path';
import { EgretError, ErrorKind } from '../common/Errors.js';
import {
  checkProcessFile,
  type ControlFile,
  type EntryFile,
  type ProcessFile,
  type ProgramKind,
} from '../common/ProcessSettings.js';

/** Settings file type of each program. */
interface FileOfProgram {
  readonly entry: EntryFile;
  readonly control: ControlFile;
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? 'unreadable';
    throw new EgretError(ErrorKind.InvalidSettings, `The file ${file} can't be read (${reason}).`);
  }
}

/**
 * Reads and checks the settings file of a program.
 *
 * @example
 * const file = loadSettingsFile('/etc/egret/entry.jsonc', ProgramKind.Entry);
 * @throws EgretError of kind invalid-settings that lists every fault
 */
export function loadSettingsFile<K extends ProgramKind>(file: string, kind: K): FileOfProgram[K] {
  const checked = checkProcessFile(readText(file));
  if (checked.isErr) {
    const faults = checked.error.map((fault) => `${fault.path}: ${fault.message}. ${fault.remedy}`);
    throw new EgretError(ErrorKind.InvalidSettings, `${file}: ${faults.join(' ')}`);
  }
  const settings: ProcessFile = checked.value;
  if (settings.program !== (kind as string)) {
    const detail = `The file ${file} is for program ${settings.program}, not ${kind}.`;
    throw new EgretError(ErrorKind.InvalidSettings, detail);
  }
  return settings as FileOfProgram[K];
}

/** Reads a secret; a relative path is resolved against the folder of the settings file. */
export function loadSecret(secretFile: string, settingsFile: string): string {
  const text = readText(path.resolve(path.dirname(settingsFile), secretFile)).trim();
  if (text.length > 0) return text;
  throw new EgretError(ErrorKind.InvalidSettings, `The secret file ${secretFile} is empty.`);
}
