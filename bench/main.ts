import { benchOverhead } from './Overhead.js';
import { benchPolicies } from './Policies.js';

/** Benches by name. */
const BENCHES: Readonly<Record<string, (args: readonly string[]) => Promise<void>>> = {
  overhead: benchOverhead,
  policies: benchPolicies,
};

const [name = '', ...args] = process.argv.slice(2);
const bench = BENCHES[name];
if (bench) {
  await bench(args);
  process.exit(0);
}
process.stderr.write(`Use one of: ${Object.keys(BENCHES).join(', ')}\n`);
process.exit(1);
