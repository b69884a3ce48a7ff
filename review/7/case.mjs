// A client leaves while a long answer is held for the requests behind it on its connection.
import {
  attemptId, ClientConnection, createConfig, Exit, nowMs, putConfig, runCase, sleep, TROUBLE,
} from '../lib-2/harness.mjs';

/** Within the largest answer of the site's downloads, 540,000 bytes. */
const BUNDLE_BYTES = 500_000;
const FIRST_PART_BYTES = 300_000;
/** The target's second part follows after this time. */
const SECOND_PART_MS = 900;
/** The client leaves after this time; its deadline is later. */
const LEAVES_MS = 500;
const BYSTANDERS = 12;

await runCase(import.meta.url, async ({ record, deploy, addTarget }) => {
  const deployment = await deploy({});
  const routes = [
    { name: 'lookup', kind: 'safe', prefix: '/lookup/', service: 'ledger', timeoutMs: 3000 },
    { name: 'filing', kind: 'unsafe', prefix: '/filing/', service: 'dispatch', timeoutMs: 3000 },
    { name: 'bundle', kind: 'download', prefix: '/bundle/', service: 'chartroom', timeoutMs: 10000,
      sloMs: 3377 },
  ];
  const accepted = await putConfig(deployment, createConfig('r3', routes), 'r0');
  if (accepted.status !== 200) return Exit.NotRun;
  const dispatchers = [];
  for (const zone of ['otaru-port', 'yoichi', 'shakotan']) {
    await addTarget({ service: 'ledger', zone, workMs: 1_200 });
    dispatchers.push(await addTarget({ service: 'dispatch', zone, slots: 6, workMs: 300 }));
    await addTarget({
      service: 'chartroom',
      zone,
      async run(request) {
        const body = Buffer.alloc(BUNDLE_BYTES, 'b');
        request.socket.write(this.head(request, { length: body.length }));
        request.socket.write(body.subarray(0, FIRST_PART_BYTES));
        await sleep(SECOND_PART_MS);
        request.socket.write(body.subarray(FIRST_PART_BYTES));
        this.done();
      },
    });
  }
  await deployment.waitUntilReady();
  await sleep(4_000);

  const [gateway] = deployment.machines;
  const at = deployment.callersOf(gateway);
  let isEnding = false;
  /** Requests from kept connections that were passed on and whose connection closed unanswered. */
  const lost = [];
  let answeredCount = 0;

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
  const bystanders = Array.from({ length: BYSTANDERS }, () => fileOrders());
  await sleep(2_000);

  for (let round = 1; round <= 2; round += 1) {
    const connection = new ClientConnection(at);
    const ids = [attemptId(), attemptId()];
    const answers = [
      connection.send({ path: `/bundle/${round}`, id: ids[0], deadlineMs: 11213 }),
      connection.send({ path: `/lookup/${round}`, id: ids[1], deadlineMs: 3000 }),
    ];
    record('pipelined', { round, ids });
    if (TROUBLE) {
      await sleep(LEAVES_MS);
      record('client_leaves', { round });
      connection.close();
    }
    const results = await Promise.all(answers);
    results.forEach(({ status, body }, index) =>
      record('pipelined_answer', { id: ids[index], status, bytes: body?.length ?? 0 }),
    );
    if (!TROUBLE && results.some(({ status }) => status !== 200)) return Exit.NotRun;
    await sleep(5_000);
  }
  isEnding = true;
  await Promise.race([Promise.all(bystanders), sleep(3_000)]);

  const { ownEnds } = deployment;
  record('result', { answeredCount, lost, ownEnds, atMs: nowMs() });
  console.log(`answered ${answeredCount}, lost ${lost.length}, own ends ${ownEnds.length}`);
  return lost.length > 3 ? Exit.Broken : Exit.Held;
});
