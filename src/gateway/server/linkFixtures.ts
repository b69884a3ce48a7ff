import { request, type IncomingMessage } from 'node:http';
import { waitUntil } from '../../../standin/Cluster.js';
import { ControlStandin, type ControlReport } from '../../../standin/ControlStandin.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { RateLimitedLog } from '../../runtime/RateLimitedLog.js';
import { createBackend } from '../fixtures.js';
import { GatewayServer } from './GatewayServer.js';
import { soundReply, TEST_PROFILE } from './fixtures.js';

const HOST = '127.0.0.1';

const SECRET = 'secret';

const GAUGE_INTERVAL_MS = 10;

/** Options of {@link startLinkedGateway}. */
export interface LinkedGatewayOptions {
  /** What the control host states about its routing from the first answer on. */
  readonly report?: ControlReport;
}

/** Starts a gateway, one backend server of `alpha` and the control host that it is linked to. */
export async function startLinkedGateway(
  stops: (() => Promise<void> | void)[],
  { report = {} }: LinkedGatewayOptions = {},
) {
  const control = new ControlStandin(SECRET);
  control.report = report;
  await control.start();
  const backend = new RawBackend(soundReply);
  await backend.start();
  const lines: string[] = [];
  const gateway = new GatewayServer({
    id: 'entry-1',
    availabilityZone: 'perth',
    callers: { address: HOST, port: 0 },
    readiness: { address: HOST, port: 0, path: '/ready' },
    secret: SECRET,
    seeds: () => [{ address: HOST, port: control.port }],
    followMembership: false,
    profile: TEST_PROFILE,
    budget: { ratio: 0.2, windowMs: 10_000, slack: 68 },
    stopMs: 1_000,
    probeTimeoutMs: 2_000,
    log: new RateLimitedLog({
      base: {},
      write: (text, done) => {
        lines.push(...text.split('\n'));
        done();
      },
    }),
  });
  await gateway.start();
  stops.push(
    () => gateway.dispose(),
    () => backend.stop(),
    () => control.stop(),
  );
  await waitUntil(() => control.watches.length > 0, 'a watch');
  const gauge = async (name: string) => {
    const text = await gateway.metrics.registry.metrics();
    return Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1]);
  };
  const get = (port: number, path: string): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
      const headers = { Host: 'calls.example', 'Call-Id': 'c-1', 'Budget-Ms': '10000' };
      request({ host: HOST, port, path, headers, agent: false }, (answer) => {
        answer.resume().on('end', () => resolve(answer));
      })
        .on('error', reject)
        .end();
    });
  return {
    gateway,
    backend,
    control,
    /** Record of the backend server, as control hosts send it. */
    record: createBackend('b-1', { address: HOST, port: backend.port }),
    gauge,
    untilGauge: async (name: string, value: number) => {
      let read = Number.NaN;
      const timer = setInterval(() => {
        gauge(name).then(
          (current) => {
            read = current;
          },
          () => {},
        );
      }, GAUGE_INTERVAL_MS);
      await waitUntil(() => read === value, name).finally(() => clearInterval(timer));
    },
    linesOf: (event: string) => lines.filter((line) => line.includes(` event=${event} `)),
    call: () => get(gateway.port, '/read/x'),
    readiness: async () => (await get(gateway.readinessPort, '/ready')).statusCode,
  };
}
