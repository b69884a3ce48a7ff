// A target spoils one byte of the head of a long answer that is held for requests behind it.
import {
  attemptId, ClientConnection, createConfig, Exit, nowMs, putConfig, runCase, sleep, TROUBLE,
} from '../lib-2/harness.mjs';

const BUNDLE_BYTES = 300_000;
/** One in 50 answers is spoiled, by half of the targets of the service. */
const SPOILED_EVERY = 50;
const PIPELINING_CLIENTS = 6;
const BYSTANDERS = 12;
const PLAYED_MS = 25_000;

await runCase(import.meta.url, async ({ record, deploy, addTarget }) => {
  const deployment = await deploy({});
  const routes = [
    { name: 'lookup', kind: 'safe', prefix: '/lookup/', service: 'ledger', timeoutMs: 3000 },
    { name: 'filing', kind: 'unsafe', prefix: '/filing/', service: 'dispatch', timeoutMs: 3000 },
    { name: 'bundle', kind: 'download', prefix: '/bundle/', service: 'chartroom', timeoutMs: 3000 },
  ];
  const accepted = await putConfig(deployment, createConfig('r3', routes), 'r0');
  if (accepted.status !== 200) return Exit.NotRun;
  const dispatchers = [];
  let spoiled = 0;
  const addStore = (zone, isFaulty) => {
    let answers = 0;
    return addTarget({
      service: 'chartroom',
      zone,
      async run(request) {
        await sleep(60);
        answers += 1;
        const isSpoiled = TROUBLE && isFaulty && answers % SPOILED_EVERY === 0;
        if (isSpoiled) {
          spoiled += 1;
          record('spoiled', { target: this.id, id: request.id });
        }
        const status = isSpoiled ? '200 O\x1a' : '200 OK';
        request.socket.write(this.head(request, { length: BUNDLE_BYTES, status }), 'latin1');
        request.socket.write(Buffer.alloc(BUNDLE_BYTES, 'b'));
        this.done();
      },
    });
  };
  for (const zone of ['otaru-port', 'yoichi', 'shakotan']) {
    await addTarget({ service: 'ledger', zone, workMs: 400, slots: 6 });
    dispatchers.push(await addTarget({ service: 'dispatch', zone, slots: 6, workMs: 300 }));
  }
  await addStore('otaru-port', true);
  await addStore('yoichi', false);
  await deployment.waitUntilReady();
  await sleep(4_000);

  const [gateway] = deployment.machines;
  const at = deployment.callersOf(gateway);
  let isEnding = false;
  const lost = [];
  let answeredCount = 0;
  let bundles = 0;

  async function fileOrders() {
    while (!isEnding) {
      const connection = new ClientConnection(at);
      while (!isEnding && !connection.isClosed) {
        const id = attemptId();
        const wasKept = connection.answered > 0;
        const answer = await connection.send({
          method: 'POST', path: `/filing/${id}`, id, deadlineMs: 2500, body: 'an order',
        });
        record('filing', { id, status: answer.status, kept: wasKept });
        if (answer.status === 200) answeredCount += 1;
        const wasPassedOn = dispatchers.some(({ runs }) => runs.includes(id));
        if (answer.status === 0 && wasKept && wasPassedOn && !isEnding) lost.push(id);
      }
      await sleep(100);
    }
  }

  async function readBundles(client) {
    while (!isEnding) {
      const connection = new ClientConnection(at);
      while (!isEnding && !connection.isClosed) {
        const ids = [attemptId(), attemptId()];
        const answers = await Promise.all([
          connection.send({ path: `/bundle/${client}`, id: ids[0], deadlineMs: 2500 }),
          connection.send({ path: `/lookup/${client}`, id: ids[1], deadlineMs: 2500 }),
        ]);
        bundles += 1;
        record('pipelined', { ids, statuses: answers.map(({ status }) => status) });
      }
      await sleep(100);
    }
  }

  const clients = [
    ...Array.from({ length: BYSTANDERS }, () => fileOrders()),
    ...Array.from({ length: PIPELINING_CLIENTS }, (unused, client) => readBundles(client)),
  ];
  await sleep(PLAYED_MS);
  isEnding = true;
  await Promise.race([Promise.all(clients), sleep(3_000)]);

  const { ownEnds } = deployment;
  record('result', { answeredCount, bundles, spoiled, lost, ownEnds, atMs: nowMs() });
  console.log(
    `answered ${answeredCount}, bundles ${bundles}, spoiled ${spoiled}, ` +
      `lost ${lost.length}, own ends ${ownEnds.length}`,
  );
  if (TROUBLE && spoiled === 0) return Exit.NotRun;
  return lost.length > 3 ? Exit.Broken : Exit.Held;
});
