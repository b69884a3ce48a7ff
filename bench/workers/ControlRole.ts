import { LogLevel } from '../../src/common/Enums.js';
import { ProgramKind } from '../../src/common/ProcessSettings.js';
import { ControlServer } from '../../src/control/server/ControlServer.js';
import { silentLogger } from '../../src/runtime/Logger.js';
import type { StartControlParams } from './Protocol.js';

const LOCALHOST = '127.0.0.1';

/** Secret that all bench processes share. */
export const BENCH_SECRET = 'bench-secret';

/** Control host in a bench process. */
export class ControlRole {
  private server: ControlServer | undefined;

  readonly methods = {
    start: async (params: StartControlParams) => {
      const server = await ControlServer.open({
        file: {
          program: ProgramKind.Control,
          id: params.id,
          availabilityZone: 'bench',
          listen: { address: LOCALHOST, port: params.port },
          adminListen: { address: LOCALHOST, port: 0 },
          dataFolder: params.dataFolder,
          secretFile: 'unused',
          initialVoters: [...params.voters],
          initialSettings: params.tree,
          logLevel: LogLevel.Error,
        },
        secret: BENCH_SECRET,
        logger: silentLogger,
        initialize: params.initialize,
        onFatal: () => process.exit(1),
      });
      await server.start();
      this.server = server;
      return { adminPort: server.adminPort };
    },
    status: () => {
      const { raft, replicatedState } = this.server!.reducer;
      return {
        leader: raft.isLeader,
        revision: replicatedState.revision,
        settingsIndex: replicatedState.settingsIndex,
        commitIndex: raft.state.commitIndex,
        claims: replicatedState.claims.size,
      };
    },
  };
}
