// A slow target delays an answer; the long answer behind it on the connection passes its time limit.
import {
  attemptId, ClientConnection, createConfig, Exit, nowMs, putConfig, runCase, sleep, TROUBLE,
} from '../lib-2/harness.mjs';

const WORK_MS = 350;
/** Work of the slow target, as a factor. */
const SLOW_FACTOR = 4;
const LOOKUP_TARGETS = 7;
const BUNDLE_BYTES = 430_000;
const MAP_BYTES = 90_000;
const BUNDLE_TIMEOUT_MS = 800;
const DEADLINE_MS = 3_000;
const CLIENTS = 3;
const PLAYED_MS = 40_000;

/** Bytes that are different for each request and target's answer. */
function bodyOf(id, length) {
  return Buffer.alloc(length, `${id};`);
}

await runCase(import.meta.url, async ({ record, deploy, addTarget }) => {
  const deployment = await deploy({});
  const routes = [
    {
      name: 'lookup', kind: 'safe', prefix: '/lookup/', service: 'ledger',
      timeoutMs: DEADLINE_MS, attempts: 1,
    },
    {
      name: 'bundle', kind: 'safe', prefix: '/bundle/', service: 'chartroom',
      timeoutMs: BUNDLE_TIMEOUT_MS,
    },
    {
      name: 'map', kind: 'safe', prefix: '/map/', service: 'chartroom',
      timeoutMs: DEADLINE_MS,
    },
  ];
  const accepted = await putConfig(deployment, createConfig('r3', routes), 'r0');
  if (accepted.status !== 200) return Exit.NotRun;
  const zones = ['otaru-port', 'yoichi', 'shakotan'];
  for (let index = 0; index < LOOKUP_TARGETS; index += 1) {
    const isSlow = TROUBLE && index === 0;
    const target = await addTarget({
      service: 'ledger',
      zone: zones[index % zones.length],
      workMs: isSlow ? WORK_MS * SLOW_FACTOR : WORK_MS,
    });
    if (isSlow) record('slow_target', { target: target.id, factor: SLOW_FACTOR });
  }
  for (const zone of zones) {
    await addTarget({
      service: 'chartroom',
      zone,
      async run(request) {
        await sleep(40);
        const length = Number(/bytes=(\d+)/.exec(request.target)[1]);
        request.socket.write(this.head(request, { length }));
        request.socket.write(bodyOf(request.id, length));
        this.done();
      },
    });
  }
  await deployment.waitUntilReady();
  await sleep(4_000);

  let isEnding = false;
  let rounds = 0;
  /** Successes whose body is not that of the target. */
  const mixed = [];
  /** Requests without a whole answer although the connection stayed open. */
  const hanging = [];

  async function useConnections(client) {
    const machine = deployment.machines[client % deployment.machines.length];
    while (!isEnding) {
      const connection = new ClientConnection(deployment.callersOf(machine));
      while (!isEnding && !connection.isClosed) {
        const ids = [attemptId(), attemptId(), attemptId()];
        const download = (route, id, bytes) =>
          connection.send({ path: `/${route}/${id}?bytes=${bytes}`, id, deadlineMs: DEADLINE_MS });
        const answers = [
          connection.send({ path: `/lookup/${ids[0]}`, id: ids[0], deadlineMs: DEADLINE_MS }),
          download('bundle', ids[1], BUNDLE_BYTES),
        ];
        // A further request before the first has been answered.
        await sleep(250);
        answers.push(download('map', ids[2], MAP_BYTES));
        rounds += 1;
        const results = await Promise.all(
          answers.map((answer) => Promise.race([answer, sleep(DEADLINE_MS).then(() => null)])),
        );
        results.forEach((answer, index) => {
          const id = ids[index];
          const status = answer?.status ?? 'none';
          const { body } = answer ?? {};
          const expected = index === 0 ? Buffer.from(`answer to ${id}`) : bodyOf(id, body?.length ?? 0);
          const isForeign = status === 200 && answer.signature !== undefined && !body.equals(expected);
          let own = 0;
          while (isForeign && own < body.length && body[own] === expected[own]) own += 1;
          record('answer', {
            client,
            index,
            id,
            status,
            bytes: body?.length ?? 0,
            ...(isForeign && { ownBytes: own, then: body.subarray(own, own + 60).toString('latin1') }),
          });
          if (isForeign) mixed.push(id);
          if (answer === null) hanging.push(id);
        });
        if (results.some((answer) => answer === null || answer.status !== 200)) break;
      }
      connection.close();
      await sleep(50);
    }
  }

  const clients = Array.from({ length: CLIENTS }, (unused, client) => useConnections(client));
  await sleep(PLAYED_MS);
  isEnding = true;
  await Promise.race([Promise.all(clients), sleep(DEADLINE_MS + 500)]);
  record('result', { rounds, mixed, hanging, ownEnds: deployment.ownEnds, atMs: nowMs() });
  console.log(`rounds ${rounds}, mixed ${mixed.length}, without an answer ${hanging.length}`);
  if (rounds === 0) return Exit.NotRun;
  return mixed.length > 0 ? Exit.Broken : Exit.Held;
});
