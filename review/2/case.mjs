// Two core machines lose their disks one after the other, with time to catch up in between, after
// many changes of a config with many routes.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, Deployment, Operator, createConfig, createRule, runCase, sleep } from '../lib/deployment.mjs';

const ROUTES = Number(process.env.ROUTES ?? 350);
const CHANGES = Number(process.env.CHANGES ?? 150);
const DOWN_MS = 3_000;
const BETWEEN_MS = 12_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble, own }) => {
  const deployment = own(new Deployment({ record }));
  deployment.startAll();
  const operator = new Operator({ record, nodes: () => deployment.seeds });
  const config = (number) =>
    createConfig(
      `r${number}`,
      [
        {
          host: 'depot.example',
          rules: Array.from({ length: ROUTES }, (_, index) =>
            createRule(`r-${index.toString(36).padStart(7, '0')}`, {
              service: 'ledger',
              prefix: `/stations/s${index}/`,
              timeoutMs: 1_000 + number,
            }),
          ),
        },
      ],
      ['ledger'],
    );
  for (let number = 1; number <= CHANGES; number += 1) {
    const answer = await operator.putConfig(config(number), number === 1 ? '0' : `r${number - 1}`);
    if (answer.status !== 200) throw new Error(`change ${number} was answered ${answer.status}`);
  }
  record.line(`all ${CHANGES} changes are acknowledged`);
  await sleep(BOUNDS.contactMs);

  const loseDisk = async (machine) => {
    await Promise.all(machine.roles.map((role) => deployment.kill(machine, role)));
    deployment.wipe(machine);
    await sleep(DOWN_MS);
    machine.roles.forEach((role) => deployment.start(machine, role));
  };
  const [first, second] = deployment.core;
  if (trouble) {
    await loseDisk(first);
    await sleep(BETWEEN_MS);
    const between = await operator.readConfig(10_000);
    record.line('read between the two losses:', between.status);
    await loseDisk(second);
  }
  await sleep(BOUNDS.recoveryMs);
  const read = await operator.readConfig(15_000);
  if (read.status !== 200) return `LOST: the acknowledged config r${CHANGES} can not be read any more (${read.status})`;
  const { version } = JSON.parse(read.body);
  return version === `r${CHANGES}` ? '' : `CONFIG: read ${version} instead of r${CHANGES}`;
});
