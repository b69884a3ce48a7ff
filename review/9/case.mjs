// A gateway ends while it passes on an answer without a length.
import {
  attemptId, ClientConnection, createConfig, Exit, nowMs, putConfig, runCase, sleep, TROUBLE,
} from '../lib-2/harness.mjs';

/** Within the largest answer of the sites' downloads, 540,000 bytes. */
const BUNDLE_BYTES = 500_000;
const FIRST_PART_BYTES = 300_000;
const SECOND_PART_MS = 800;
const KILLED_MS = 400;
const ROUNDS = 3;

await runCase(import.meta.url, async ({ record, deploy, addTarget }) => {
  const deployment = await deploy({});
  const routes = [
    {
      name: 'bundle', kind: 'download', prefix: '/bundle/', service: 'chartroom',
      timeoutMs: 10000, sloMs: 3377,
    },
  ];
  const accepted = await putConfig(deployment, createConfig('r3', routes), 'r0');
  if (accepted.status !== 200) return Exit.NotRun;
  for (const zone of ['otaru-port', 'yoichi', 'shakotan']) {
    await addTarget({
      service: 'chartroom',
      zone,
      async run(request) {
        const body = Buffer.alloc(BUNDLE_BYTES, 'b');
        request.socket.write(this.head(request, { extra: 'Connection: close\r\n' }));
        request.socket.write(body.subarray(0, FIRST_PART_BYTES));
        await sleep(SECOND_PART_MS);
        record('target_sends_rest', { target: this.id, id: request.id });
        request.socket.end(body.subarray(FIRST_PART_BYTES));
        this.done();
      },
    });
  }
  await deployment.waitUntilReady();
  await sleep(4_000);

  const mixed = [];
  let whole = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const machine = deployment.machines[round % deployment.machines.length];
    const id = attemptId();
    const connection = new ClientConnection(deployment.callersOf(machine));
    const answered = connection.send({ path: `/bundle/${round}`, id, deadlineMs: 9000 });
    if (TROUBLE) {
      await sleep(KILLED_MS);
      machine.disturbed += 1;
      machine.processes.get('gateway').kill('SIGKILL');
      record('gateway_killed', { machine: machine.name, round });
    }
    const answer = await answered;
    record('answer', {
      id,
      status: answer.status,
      signature: answer.signature,
      bytes: answer.body?.length ?? 0,
      of: BUNDLE_BYTES,
      endedBy: connection.error ?? 'end of the connection',
      complete: answer.isComplete ?? false,
      head: answer.head,
    });
    const isSuccess = answer.status === 200 && answer.signature !== undefined;
    if (isSuccess && answer.isComplete) {
      if (answer.body.length === BUNDLE_BYTES) whole += 1;
      else mixed.push(id);
    }
    await deployment.waitUntilReady();
    await sleep(2_000);
    machine.disturbed = 0;
  }
  record('result', { whole, mixed, atMs: nowMs() });
  console.log(`whole ${whole}, cut answers that look complete ${mixed.length}`);
  if (!TROUBLE && whole < ROUNDS) return Exit.NotRun;
  return mixed.length > 0 ? Exit.Broken : Exit.Held;
});
