// Clients send further safe requests before the first is answered, and some targets break off a part
// of their long answers: the requests behind, which sound targets run, lose their answers.
import net from 'node:net';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Deployment, Operator, createConfig, createRule, request, runCase, sleep, until } from '../lib/deployment.mjs';
import { Target } from '../lib/target.mjs';

const CONNECTIONS = 400;
const CONNECTIONS_PER_S = 10;
/** Requests on a connection: the first one alone, and the others at once after its answer. */
const BATCH = 4;
/** Every other target takes part, with this share of its answers (`garble`: share 0.6, x 0.05). */
const ANSWERS_SHARE = 0.05;
const BODY = Buffer.alloc(400_000, 'bundle ');
const TIMEOUT_MS = 1_500;

/** Sends requests on one connection that is kept after the first, and reads their answers. */
function sendBatch(record, ip, name) {
  const attempts = Array.from({ length: BATCH }, (_, index) => `${name}-${index}`);
  return new Promise((resolve) => {
    const socket = net.connect(8548, ip);
    const answered = [];
    let received = Buffer.alloc(0);
    const send = (attempt) => {
      const target = `GET /bundles/${attempt} HTTP/1.1`;
      const lines = [target, 'Host: depot.example', `X-Attempt-Id: ${attempt}`, 'X-Deadline-Ms: 1500'];
      socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    };
    const end = (how) => {
      const waiting = attempts.slice(answered.length);
      record.line('client', name, how, `answered=${answered.length}`, `without an answer: ${waiting.join(' ') || 'none'}`);
      resolve({ waiting, closed: how === 'connection closed' });
      socket.destroy();
    };
    const timer = setTimeout(() => end('timeout'), 2 * TIMEOUT_MS + 1_000);
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      if (answered.length < BATCH) end('connection closed');
    });
    socket.on('data', (chunk) => {
      received = Buffer.concat([received, chunk]);
      for (;;) {
        const headEnd = received.indexOf('\r\n\r\n');
        if (headEnd < 0) return;
        const head = received.subarray(0, headEnd).toString('latin1');
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        if (received.length < headEnd + 4 + length) return;
        received = received.subarray(headEnd + 4 + length);
        record.line('client', name, attempts[answered.length], `answer=${head.split(' ')[1]}`);
        answered.push(head.split(' ')[1]);
        if (answered.length === 1) attempts.slice(1).forEach(send);
        if (answered.length === BATCH) {
          clearTimeout(timer);
          end('all answered');
          return;
        }
      }
    });
    send(attempts[0]);
  });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble, own }) => {
  const deployment = own(new Deployment({ record }));
  deployment.startAll();
  const operator = new Operator({ record, nodes: () => deployment.seeds });
  const rule = createRule('bundles', { service: 'chartroom', prefix: '/bundles/', timeoutMs: TIMEOUT_MS });
  const listeners = [{ host: 'depot.example', rules: [rule] }];
  const answer = await operator.putConfig(createConfig('r1', listeners, ['chartroom']), '0');
  if (answer.status !== 200) throw new Error('the config is not acknowledged');

  let broken = 0;
  const reply = (takesPart) => {
    let answers = 0;
    return (incoming, response, { attempt }) => {
      answers += 1;
      const headers = { 'X-Response-Signature': `mac-${attempt}`, 'Content-Length': BODY.length };
      response.writeHead(200, headers);
      if (!trouble || !takesPart || answers % (1 / ANSWERS_SHARE) !== 0) {
        setTimeout(() => response.end(BODY), 60);
        return;
      }
      broken += 1;
      record.line('target', attempt, `breaks off after 350000 of ${BODY.length} bytes`);
      response.write(BODY.subarray(0, 350_000), () => setTimeout(() => incoming.socket.destroy(), 20));
    };
  };
  const targets = await Promise.all(
    Array.from({ length: 6 }, (_, index) => {
      const { zone, ip } = deployment.machines[index % 3];
      const nodes = () => deployment.seeds;
      const options = { record, id: `i-chartroom-${index}`, service: 'chartroom', zone, ip, nodes, slots: 6 };
      return own(new Target({ ...options, reply: reply(index % 2 === 0) })).start();
    }),
  );
  const isReady = async ({ ip }) =>
    (await request(`${ip}:8542`, { path: '/egretcourse/readiness' })).status === 200;
  for (const machine of deployment.machines) {
    if (!(await until(() => isReady(machine), 10_000))) throw new Error(`${machine.name} is not ready`);
  }
  await sleep(4_000);

  const batches = [];
  for (let count = 0; count < CONNECTIONS; count += 1) {
    batches.push(sendBatch(record, deployment.machines[count % 3].ip, `b${count}`));
    await sleep(1_000 / CONNECTIONS_PER_S);
  }
  const results = await Promise.all(batches);
  const soundRuns = new Set(
    targets.filter((_, index) => index % 2 === 1).flatMap(({ runs }) => runs.map(({ attempt }) => attempt)),
  );
  const otherRuns = new Set(
    targets.filter((_, index) => index % 2 === 0).flatMap(({ runs }) => runs.map(({ attempt }) => attempt)),
  );
  const lost = results
    .filter(({ closed }) => closed)
    .flatMap(({ waiting }) => waiting)
    .filter((attempt) => soundRuns.has(attempt) && !otherRuns.has(attempt));
  record.line(`connections: ${results.length}, answers broken off: ${broken}`);
  record.line(`run by sound targets only, and closed without an answer: ${lost.length} (${lost.join(' ')})`);
  if (lost.length <= 3) return '';
  return `LOST: ${lost.length} requests were passed on to sound targets and their connection was closed without an answer`;
});
