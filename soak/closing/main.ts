import path from 'node:path';
import { parseArgs } from 'node:util';
import { createRandom, pickIndex } from '../../src/common/Random.js';
import { runClosingFault } from './ClosingFault.js';
import { PriorCause } from './PriorCauses.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1' },
    core: { type: 'string', default: '4' },
    lost: { type: 'string', default: '2' },
    gateways: { type: 'string', default: '3' },
    /** Disturbances before the closing fault; drawn from the seed if they are not named. */
    causes: { type: 'string' },
    root: { type: 'string', default: '.' },
  },
});

['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => process.exit(2)));

const PRIOR_CAUSES_MAX = 3;

/** Up to {@link PRIOR_CAUSES_MAX} causes, each of any kind. */
function drawCauses(seed: number): PriorCause[] {
  const random = createRandom(seed);
  const kinds = Object.values(PriorCause);
  const count = 1 + pickIndex(random, PRIOR_CAUSES_MAX);
  return Array.from({ length: count }, () => kinds[pickIndex(random, kinds.length)]!);
}

const first = Number(values.seed);
let broken = 0;
for (let seed = first; seed < first + Number(values.runs); seed += 1) {
  const named = values.causes?.split(',').filter((cause) => cause !== '');
  const priorCauses = (named as PriorCause[] | undefined) ?? drawCauses(seed);
  // The runs use the same ports.
  // eslint-disable-next-line no-await-in-loop
  const findings = await runClosingFault({
    seed,
    coreMachines: Number(values.core),
    gatewayMachines: Number(values.gateways),
    hostsLostAtOnce: Number(values.lost),
    priorCauses,
    root: path.resolve(values.root),
    folder: path.resolve('soak-runs', `closing-${seed}`),
  });
  broken += Number(findings.length > 0);
  process.stdout.write(
    `seed=${seed} core=${values.core} lost=${values.lost} causes=${priorCauses.join(',')} findings=${findings.length}\n`,
  );
  findings.forEach((finding) => process.stdout.write(`${finding}\n`));
}
process.exit(broken > 0 ? 1 : 0);
