import path from 'node:path';
import { parseArgs } from 'node:util';
import { runRoutingSoak } from './RoutingSoak.js';
import type { RoutingCause } from './RoutingCauses.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '60' },
    machines: { type: 'string', default: '9' },
    core: { type: 'string', default: '3' },
    lost: { type: 'string', default: '1' },
    routes: { type: 'string', default: '0' },
    causes: { type: 'string' },
    root: { type: 'string', default: '.' },
  },
});

['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => process.exit(2)));

const { findings, summary } = await runRoutingSoak({
  seed: Number(values.seed),
  durationMs: Number(values.seconds) * 1_000,
  machines: Number(values.machines),
  coreMachines: Number(values.core),
  hostsLostAtOnce: Number(values.lost),
  moreRoutes: Number(values.routes),
  causes: values.causes?.split(',') as RoutingCause[] | undefined,
  root: path.resolve(values.root),
  folder: path.resolve('soak-runs', `routing-${values.seed}`),
});
process.stdout.write(`${summary.join('\n')}\n`);
findings.slice(0, 20).forEach(({ rule, probe, detail }) => {
  process.stdout.write(`${rule} ${probe.kind} at ${probe.machine}: ${detail}\n`);
});
process.exit(findings.length > 0 ? 1 : 0);
