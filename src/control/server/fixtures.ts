import { LogLevel } from '../../common/Enums.js';
import { ProgramKind, type ControlFile } from '../../common/ProcessSettings.js';
import { silentLogger } from '../../runtime/Logger.js';
import type { Member } from '../raft/Types.js';
import { ControlServer, type ControlServerOptions } from './ControlServer.js';

const ADDRESS = '127.0.0.1';

/** Changes of the options of {@link openSingleControl}. */
export interface SingleControlChanges extends Partial<ControlServerOptions> {
  /** Voters at the first start; only this host by default. */
  readonly initialVoters?: Member[];
  /** Changes of its settings. */
  readonly fileChanges?: Partial<ControlFile>;
}

/** Opens a control host that is the only voter of its cluster, for tests. */
export function openSingleControl(
  dataFolder: string,
  { initialVoters, fileChanges, ...changes }: SingleControlChanges = {},
): Promise<ControlServer> {
  return ControlServer.open({
    file: {
      program: ProgramKind.Control,
      id: 'control-1',
      availabilityZone: 'perth',
      listen: { address: ADDRESS, port: 0 },
      adminListen: { address: ADDRESS, port: 0 },
      dataFolder,
      secretFile: '',
      initialVoters: initialVoters ?? [{ id: 'control-1', address: ADDRESS, port: 1 }],
      logLevel: LogLevel.Error,
      ...fileChanges,
    },
    secret: 'secret',
    logger: silentLogger,
    initialize: true,
    onFatal: (error) => {
      throw error;
    },
    ...changes,
  });
}
