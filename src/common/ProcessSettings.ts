import Result from 'true-myth/result';
import * as z from 'zod';
import { LogLevel } from './Enums.js';
import { parseJsonc } from './Jsonc.js';
import { checkDocument, checkTree, type SettingsFault } from './SettingsTree.js';
import { treeSchema } from './SettingsSchema.js';

/** Program that a settings file belongs to. */
export enum ProgramKind {
  Entry = 'entry',
  Control = 'control',
}

const port = z.number().int().min(0).max(65_535);
const host = z.string().min(1).max(253);
const id = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use lower-case letters, digits, hyphens');
const endpoint = z.strictObject({ address: host, port });
const controlHost = z.strictObject({ id, address: host, port });
const logLevel = z.enum(LogLevel).default(LogLevel.Info);

/** Settings file of an entry host. */
export const entryFileSchema = z.strictObject({
  program: z.literal(ProgramKind.Entry),
  id,
  availabilityZone: id,
  listen: endpoint,
  peerListen: endpoint,
  adminListen: endpoint,
  controlHosts: z.array(controlHost).min(1).max(7),
  secretFile: z.string().min(1),
  logLevel,
  maxHeaderBytes: z.number().int().min(1024).max(65_536).default(16_384),
  headTimeoutMs: z.number().int().min(100).max(120_000).default(10_000),
  /** Time after SIGTERM at which the supervisor may end the process; ten minutes for downloads. */
  stopMs: z.number().int().min(1_000).max(3_600_000).default(600_000),
});

/** Settings file of a control host. */
export const controlFileSchema = z.strictObject({
  program: z.literal(ProgramKind.Control),
  id,
  availabilityZone: id,
  listen: endpoint,
  adminListen: endpoint,
  dataFolder: z.string().min(1),
  secretFile: z.string().min(1),
  /** Initial voters of a new cluster, including this host; empty for a host that joins later. */
  initialVoters: z.array(controlHost).max(7),
  /** Settings tree of a new cluster. */
  initialSettings: treeSchema.optional(),
  logLevel,
});

export type EntryFile = z.infer<typeof entryFileSchema>;
export type ControlFile = z.infer<typeof controlFileSchema>;
export type ProcessFile = EntryFile | ControlFile;
export type Endpoint = z.infer<typeof endpoint>;
export type ControlHostAddress = z.infer<typeof controlHost>;

const CHECKS: Record<ProgramKind, (document: unknown) => Result<ProcessFile, SettingsFault[]>> = {
  [ProgramKind.Entry]: (document) => checkDocument(entryFileSchema, document),
  [ProgramKind.Control]: (document) =>
    checkDocument(controlFileSchema, document).andThen((file) =>
      checkTree(file.initialSettings ?? {})
        .mapErr((faults) =>
          faults.map((fault) => ({ ...fault, path: `/initialSettings${fault.path}` })),
        )
        .map(() => file),
    ),
};

/**
 * Checks the text of a settings file and lists every fault with its path and remedy.
 *
 * @example
 * checkProcessFile('{ "program": "entry" }').isErr; // true
 */
export function checkProcessFile(text: string): Result<ProcessFile, SettingsFault[]> {
  return parseJsonc(text).andThen((document) => {
    const program = (document as { program?: unknown } | null)?.program;
    const check = CHECKS[program as ProgramKind];
    if (check) return check(document);
    return Result.err([
      {
        path: '/program',
        message: 'unknown program',
        remedy: `Use one of ${Object.values(ProgramKind).join(', ')}.`,
      },
    ]);
  });
}
