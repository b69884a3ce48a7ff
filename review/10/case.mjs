// A target breaks off an answer without a length; the sound answer before it on the connection is cut.
import {
  attemptId, ClientConnection, createConfig, Exit, nowMs, putConfig, runCase, sleep, TROUBLE,
} from '../lib-2/harness.mjs';

const BUNDLE_BYTES = 520_000;
const MAP_BYTES = 300_000;
const SMALL_BYTES = 1_500;
/** Pairs of downloads on one connection, each after a small request. */
const USES = 1;
/** One in 50 answers is broken off, by half of the targets of the service. */
const BROKEN_EVERY = 50;
const DEADLINE_MS = 3_000;
const CLIENTS = 18;
const PLAYED_MS = 70_000;

await runCase(import.meta.url, async ({ record, deploy, addTarget }) => {
  const deployment = await deploy({});
  const routes = [
    { name: 'bundle', kind: 'download', prefix: '/bundle/', service: 'ledger', timeoutMs: DEADLINE_MS },
    { name: 'map', kind: 'safe', prefix: '/map/', service: 'chartroom', timeoutMs: DEADLINE_MS },
  ];
  const accepted = await putConfig(deployment, createConfig('r3', routes), 'r0');
  if (accepted.status !== 200) return Exit.NotRun;
  const bundleTargets = [];
  /** Ids of the downloads whose answers were broken off. */
  const broken = new Set();
  const addMaps = (zone, isFaulty) => {
    let answers = 0;
    return addTarget({
      service: 'chartroom',
      zone,
      slots: 8,
      async run(request) {
        await sleep(50);
        answers += 1;
        const body = Buffer.alloc(MAP_BYTES, 'm');
        if (TROUBLE && isFaulty && answers % BROKEN_EVERY === 0) {
          broken.add(request.id);
          record('broken_off', { target: this.id, id: request.id });
          request.socket.write(this.head(request, {}));
          request.socket.write(body);
          await sleep(100);
          request.socket.resetAndDestroy();
        } else {
          request.socket.write(this.head(request, { length: MAP_BYTES }));
          request.socket.write(body);
        }
        this.done();
      },
    });
  };
  for (const zone of ['otaru-port', 'yoichi', 'shakotan']) {
    const target = await addTarget({
      service: 'ledger',
      zone,
      slots: 8,
      async run(request) {
        await sleep(250);
        const length = Number(/bytes=(\d+)/.exec(request.target)[1]);
        request.socket.write(this.head(request, { length }));
        request.socket.write(Buffer.alloc(length, 'b'));
        this.done();
      },
    });
    bundleTargets.push(target);
  }
  await addMaps('otaru-port', true);
  await addMaps('yoichi', false);
  await deployment.waitUntilReady();
  await sleep(4_000);

  let isEnding = false;
  let whole = 0;
  /** Requests to sound targets whose kept connection ended before their answer was whole. */
  const lost = [];

  async function download(client) {
    const machine = deployment.machines[client % deployment.machines.length];
    while (!isEnding) {
      const connection = new ClientConnection(deployment.callersOf(machine));
      for (let use = 0; use < USES && !isEnding && !connection.isClosed; use += 1) {
        const id = attemptId();
        const path = `/bundle/${id}?bytes=${SMALL_BYTES}`;
        await connection.send({ path, id, deadlineMs: DEADLINE_MS });
        const isKept = connection.answered > 0;
        const [first, second] = [attemptId(), attemptId()];
        const bundlePath = `/bundle/${first}?bytes=${BUNDLE_BYTES}`;
        const results = await Promise.all([
          connection.send({ path: bundlePath, id: first, deadlineMs: DEADLINE_MS }),
          connection.send({ path: `/map/${second}`, id: second, deadlineMs: DEADLINE_MS }),
        ]);
        const [bundle, map] = results;
        if (bundle.status === 200) whole += 1;
        const wasPassedOn = bundleTargets.some(({ runs }) => runs.includes(first));
        const isLost = bundle.status === 0 && isKept && wasPassedOn && !isEnding;
        if (isLost) lost.push(first);
        record('answers', {
          client,
          bundle: first,
          status: bundle.status,
          ...(isLost && {
            head: bundle.partialStatus ?? 'none',
            received: connection.buffer.length,
            brokenBehind: broken.has(second),
          }),
          map: second,
          mapStatus: map.status,
        });
      }
      connection.close();
      await sleep(50);
    }
  }

  const clients = Array.from({ length: CLIENTS }, (unused, client) => download(client));
  await sleep(PLAYED_MS);
  isEnding = true;
  await Promise.race([Promise.all(clients), sleep(DEADLINE_MS + 500)]);
  const { ownEnds } = deployment;
  record('result', { whole, broken: broken.size, lost, ownEnds, atMs: nowMs() });
  console.log(`whole ${whole}, broken off ${broken.size}, lost ${lost.length}, own ends ${ownEnds.length}`);
  if (whole === 0 || (TROUBLE && broken.size === 0)) return Exit.NotRun;
  return lost.length > 3 ? Exit.Broken : Exit.Held;
});
