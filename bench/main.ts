import { benchCaps } from './Caps.js';
import { benchControl } from './Control.js';
import { benchCrossings } from './Crossings.js';
import { benchMeasuring } from './Measuring.js';
import { benchOverload } from './Overload.js';
import { benchOverhead } from './Overhead.js';
import { benchPicks } from './Picks.js';
import { benchPolicies } from './Policies.js';
import { benchSlopes } from './Slopes.js';
import { benchZone } from './Zone.js';

/** Benches by name. */
const BENCHES: Readonly<Record<string, (args: readonly string[]) => Promise<void>>> = {
  overhead: benchOverhead,
  overload: benchOverload,
  policies: benchPolicies,
  picks: benchPicks,
  crossings: benchCrossings,
  zone: benchZone,
  measuring: benchMeasuring,
  control: benchControl,
  slopes: benchSlopes,
  caps: benchCaps,
};

const [name = '', ...args] = process.argv.slice(2);
const bench = BENCHES[name];
if (bench) {
  await bench(args);
  process.exit(0);
}
process.stderr.write(`Use one of: ${Object.keys(BENCHES).join(', ')}\n`);
process.exit(1);
