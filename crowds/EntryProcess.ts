import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { send } from '../soak/Http.js';
import { reservePorts, SECRET, type Cluster } from '../standin/Cluster.js';

const PROGRAM = fileURLToPath(new URL('../dist/src/bin/egret-entry.js', import.meta.url));

const HOST = '127.0.0.1';

const POLL_MS = 100;

/** Entry host of a cluster that runs as a process of its own. */
export class EntryProcess {
  /** How it ended; undefined while it runs. */
  ended: string | undefined;

  private constructor(
    private readonly child: ChildProcess,
    private readonly folder: string,
    readonly address: string,
  ) {
    child.once('exit', (code, signal) => {
      this.ended = `code=${code} signal=${signal}`;
    });
    process.once('exit', () => child.kill('SIGKILL'));
  }

  /** Starts it with the control hosts of a cluster; resolves once it answers. */
  static async start(cluster: Cluster, settings: object = {}): Promise<EntryProcess> {
    const folder = mkdtempSync(path.join(tmpdir(), 'egret-crowd-'));
    const [port, peerPort, adminPort] = await reservePorts(3);
    const secretFile = path.join(folder, 'secret');
    writeFileSync(secretFile, `${SECRET}\n`);
    const file = path.join(folder, 'entry.jsonc');
    const controlHosts = cluster.controls.map((control, index) => ({
      id: `control-${index}`,
      address: HOST,
      port: control.port,
    }));
    const document = {
      program: 'entry',
      id: 'entry-crowd',
      availabilityZone: cluster.zones[0],
      listen: { address: HOST, port },
      peerListen: { address: HOST, port: peerPort },
      adminListen: { address: HOST, port: adminPort },
      controlHosts,
      secretFile,
      ...settings,
    };
    writeFileSync(file, JSON.stringify(document));
    const child = spawn(process.execPath, [PROGRAM, '--settings', file], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    const entry = new EntryProcess(child, folder, `${HOST}:${port}`);
    const isListening = async () => (await send({ address: entry.address, path: '/' })).status > 0;
    // The loop polls the process.
    // eslint-disable-next-line no-await-in-loop
    while (entry.ended === undefined && !(await isListening())) await sleep(POLL_MS);
    return entry;
  }

  get processId(): number {
    return this.child.pid!;
  }

  stop(): void {
    this.child.kill('SIGKILL');
    rmSync(this.folder, { recursive: true, force: true });
  }
}
