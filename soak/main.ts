import path from 'node:path';
import { parseArgs } from 'node:util';
import { runSoak } from './Soak.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '40' },
    machines: { type: 'string', default: '6' },
    clients: { type: 'string', default: '10' },
    root: { type: 'string', default: '.' },
  },
});

['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => process.exit(2)));

const { breaches, summary } = await runSoak({
  seed: Number(values.seed),
  durationMs: Number(values.seconds) * 1_000,
  machines: Number(values.machines),
  clientsPerMachine: Number(values.clients),
  root: path.resolve(values.root),
  folder: path.resolve('soak-runs', `seed-${values.seed}`),
});
process.stdout.write(`${summary}\n`);
breaches.forEach(({ rule, detail }) => process.stdout.write(`${rule}: ${detail}\n`));
process.exit(breaches.length > 0 ? 1 : 0);
