import { LogLevel } from '../../src/common/Enums.js';
import { ProgramKind } from '../../src/common/ProcessSettings.js';
import { EntryServer } from '../../src/entry/server/EntryServer.js';
import { silentLogger } from '../../src/runtime/Logger.js';
import { BENCH_SECRET } from './ControlRole.js';
import type { StartEntriesParams } from './Protocol.js';

const LOCALHOST = '127.0.0.1';

/** Entry hosts in a bench process. */
export class EntriesRole {
  private readonly servers: EntryServer[] = [];

  readonly methods = {
    start: async (params: StartEntriesParams) => {
      const addresses = [];
      for (let offset = 0; offset < params.count; offset += 1) {
        const index = params.firstIndex + offset;
        // The few hosts are started one after the other.
        // eslint-disable-next-line no-await-in-loop
        const server = await EntryServer.open({
          file: {
            program: ProgramKind.Entry,
            id: `entry-${index}`,
            availabilityZone: params.zones[index % params.zones.length]!,
            listen: { address: LOCALHOST, port: params.ports[offset]! },
            peerListen: { address: LOCALHOST, port: 0 },
            adminListen: { address: LOCALHOST, port: 0 },
            controlHosts: [...params.controlHosts],
            secretFile: 'unused',
            logLevel: LogLevel.Error,
            maxHeaderBytes: 16_384,
            headTimeoutMs: 10_000,
            stopMs: 600_000,
          },
          secret: BENCH_SECRET,
          logger: silentLogger,
          seed: index + 1,
        });
        server.start();
        this.servers.push(server);
        addresses.push({ address: LOCALHOST, port: server.port });
      }
      return addresses;
    },
    status: () => {
      const nowMs = performance.now();
      let leased = 0;
      this.servers.forEach((server) =>
        server.reducer.pools.forEach((pool) =>
          pool.records.forEach((record) => {
            if (record.isLeased(nowMs)) leased += 1;
          }),
        ),
      );
      return {
        leased,
        hosts: this.servers.map((server) => server.reducer.status()),
      };
    },
    controlTraffic: () => {
      const traffic = { bytes: 0, messages: 0 };
      this.servers.forEach((server) => {
        const serverTraffic = server.controlTraffic();
        traffic.bytes += serverTraffic.bytes;
        traffic.messages += serverTraffic.messages;
      });
      return traffic;
    },
    counters: async () => {
      const totals: Record<string, number> = {};
      for (const server of this.servers) {
        // eslint-disable-next-line no-await-in-loop
        const metrics = await server.registry.getMetricsAsJSON();
        metrics
          .filter((metric) => metric.name.startsWith('egret_') && metric.name.endsWith('_total'))
          .forEach((metric) => {
            metric.values.forEach(({ value }) => {
              totals[metric.name] = (totals[metric.name] ?? 0) + value;
            });
          });
      }
      return totals;
    },
  };
}
