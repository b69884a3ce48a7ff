// An operator withdraws a service from a route by the weight 0; after later, unrelated changes of the
// config, requests still run at that service.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, Deployment, Operator, createConfig, createRule, request, runCase, sleep, until } from '../lib/deployment.mjs';
import { Target } from '../lib/target.mjs';

const SERVICES = ['dispatch-a', 'dispatch-b', 'dispatch-c'];
const WITHDRAWN = 'dispatch-c';
const CHANGES = 100;
const REQUESTS_PER_CHANGE = 12;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble, own }) => {
  const deployment = own(new Deployment({ record }));
  deployment.startAll();
  const operator = new Operator({ record, nodes: () => deployment.seeds });
  const put = async (number, weights) => {
    const rule = createRule('orders', { kind: 'unsafe', prefix: '/orders/', timeoutMs: 1_000 + number, attempts: 1 });
    delete rule.action.service;
    rule.action.split = SERVICES.map((service, index) => ({ service, weight: weights[index] }));
    const config = createConfig(`r${number}`, [{ host: 'depot.example', rules: [rule] }], SERVICES);
    const answer = await operator.putConfig(config, number === 1 ? '0' : `r${number - 1}`);
    if (answer.status !== 200) throw new Error(`r${number} was answered ${answer.status}`);
  };
  await put(1, [45, 45, 10]);
  const targets = await Promise.all(
    SERVICES.map((service, index) => {
      const { zone, ip } = deployment.machines[index];
      const nodes = () => deployment.seeds;
      return own(new Target({ record, id: `i-${service}`, service, zone, ip, nodes, slots: 20, workMs: 5 })).start();
    }),
  );
  const isReady = async ({ ip }) =>
    (await request(`${ip}:8542`, { path: '/egretcourse/readiness' })).status === 200;
  for (const machine of deployment.machines) {
    if (!(await until(() => isReady(machine), 10_000))) throw new Error(`${machine.name} is not ready`);
  }
  await sleep(4_000);

  const counts = {};
  let sent = 0;
  const sendOrders = async (count) => {
    for (let index = 0; index < count; index += 1) {
      const { ip } = deployment.machines[index % 3];
      sent += 1;
      const headers = { Host: 'depot.example', 'X-Attempt-Id': `o${sent}`, 'X-Deadline-Ms': '900', 'Content-Length': 5 };
      const answer = await request(`${ip}:8548`, { method: 'POST', path: `/orders/${sent}`, headers, body: 'order' });
      counts[answer.status] = (counts[answer.status] ?? 0) + 1;
    }
  };
  await sendOrders(60);
  const weights = [50, 50, 0];
  await put(2, weights);
  record.line('r2 is acknowledged, weights:', weights.join(' '));
  await sendOrders(60);
  await sleep(BOUNDS.configApplyMs + 1_000);

  const withdrawn = targets[SERVICES.indexOf(WITHDRAWN)];
  const runsBefore = withdrawn.runs.length;
  record.line(`run by ${WITHDRAWN} until now: ${runsBefore}`);
  for (let number = 3; number < 3 + CHANGES; number += 1) {
    // Another timeout of the route, and the same weights.
    if (trouble) await put(number, weights);
    await sendOrders(REQUESTS_PER_CHANGE);
  }
  const stray = withdrawn.runs.slice(runsBefore);
  record.line(`orders: ${sent}, answers: ${JSON.stringify(counts)}, runs by service: ${targets.map(({ service, runs }) => `${service}=${runs.length}`).join(' ')}`);
  record.line(`run by ${WITHDRAWN} later than ${BOUNDS.configApplyMs} ms after r2: ${stray.length} (${stray.map(({ attempt }) => attempt).join(' ')})`);
  if (sent * 0.9 > (counts[200] ?? 0)) throw new Error('too few orders are answered');
  if (stray.length === 0) return '';
  return `CONFIG: ${stray.length} of ${sent} orders were run by ${WITHDRAWN}, which only r1 allows`;
});
