// A gateway is killed, and another one stopped, while it passes on an answer without a length.
import {
  attemptId, ClientConnection, createConfig, Exit, nowMs, putConfig, runCase, sleep, TROUBLE,
} from '../lib-2/harness.mjs';

/** Within the largest answer of the sites' downloads, 540,000 bytes. */
const BUNDLE_BYTES = 500_000;
const FIRST_PART_BYTES = 300_000;
const SIGNALLED_MS = 400;
/** Signals by round, and the time after which the target sends the second part of its answer. */
const ROUNDS = [
  { signal: 'SIGKILL', secondPartMs: 800 },
  { signal: 'SIGKILL', secondPartMs: 800 },
  // Longer than a planned stop may take.
  { signal: 'SIGTERM', secondPartMs: 8_000 },
];
/** The provider sends SIGKILL this long after SIGTERM. */
const GRACE_MS = 6_000;
const DEADLINE_MS = 11_213;

await runCase(import.meta.url, async ({ record, deploy, addTarget }) => {
  const deployment = await deploy({});
  const routes = [
    {
      name: 'bundle', kind: 'download', prefix: '/bundle/', service: 'chartroom',
      timeoutMs: 11000, sloMs: 3377,
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
        await sleep(Number(/pause=(\d+)/.exec(request.target)[1]));
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
  for (const [round, { signal, secondPartMs }] of ROUNDS.entries()) {
    const machine = deployment.machines[round % deployment.machines.length];
    const id = attemptId();
    const connection = new ClientConnection(deployment.callersOf(machine));
    const answered = connection.send({
      path: `/bundle/${round}?pause=${secondPartMs}`,
      id,
      deadlineMs: DEADLINE_MS,
    });
    if (TROUBLE) {
      await sleep(SIGNALLED_MS);
      machine.disturbed += 1;
      const child = machine.processes.get('gateway');
      child.kill(signal);
      record('signalled', { machine: machine.name, signal, round });
      if (signal === 'SIGTERM') {
        const killer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
        child.once('exit', () => clearTimeout(killer));
      }
    }
    const answer = await answered;
    record('answer', {
      id,
      signal: TROUBLE ? signal : 'none',
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
      else mixed.push(TROUBLE ? signal : 'none');
    }
    await deployment.waitUntilReady();
    await sleep(2_000);
    machine.disturbed = 0;
  }
  record('result', { whole, mixed, atMs: nowMs() });
  console.log(`whole ${whole}, cut answers that look complete ${mixed.length} (${mixed})`);
  if (!TROUBLE && whole < ROUNDS.length) return Exit.NotRun;
  return mixed.length > 0 ? Exit.Broken : Exit.Held;
});
