import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdir, mkdtemp, readdir, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';

const DIST = fileURLToPath(new URL('../../dist/', import.meta.url));

/** Loopback address of this test process alone, since the programs have fixed ports. */
const ADDRESS = `127.77.${Math.floor(process.pid / 250) % 250}.${2 + (process.pid % 250)}`;

/** Longer than log lines are held back before they are written. */
const LOG_INTERVAL_MS = 200;

/** Program, and what it is started with in a folder. */
interface ProgramCase {
  readonly file: string;
  /** Module in the middle of the program's static imports. */
  readonly module: string;
  readonly startedEvent: string;
  readonly settings: (folder: string) => object;
  readonly args: (settingsFile: string) => string[];
}

const at = (port: number) => ({ address: ADDRESS, port });

function createHostSettings(folder: string): object {
  return {
    id: 'host-1',
    address: ADDRESS,
    availabilityZone: 'perth',
    availabilityZones: ['perth'],
    firstStart: true,
    dataFolder: path.join(folder, 'data'),
    hostPorts: [7_540, 7_555],
    seeds: [`${ADDRESS}:8544`],
    callers: `${ADDRESS}:8548`,
    readiness: `${ADDRESS}:8542`,
    operators: `${ADDRESS}:8544`,
    directory: `${ADDRESS}:8546`,
    hostsLostAtOnce: 0,
    stopSeconds: 0.2,
    directoryValidSecondsMax: 5,
    retryBudget: { ratio: 0.2, windowSeconds: 10, slack: 68 },
    metricsPorts: { gateway: 9464, control: 9465 },
    linkSecret: 'secret',
  };
}

const PROGRAMS: Readonly<Record<string, ProgramCase>> = {
  gateway: {
    file: 'platform/bin/gateway.js',
    module: 'gateway/server/GatewayServer.js',
    startedEvent: 'gateway_started',
    settings: createHostSettings,
    args: () => [],
  },
  control: {
    file: 'platform/bin/control.js',
    module: 'control/server/ControlServer.js',
    startedEvent: 'control_started',
    settings: createHostSettings,
    args: () => [],
  },
  'egret-control': {
    file: 'src/bin/egret-control.js',
    module: 'control/server/ControlServer.js',
    startedEvent: 'control_started',
    settings: () => ({
      program: 'control',
      availabilityZone: 'perth',
      id: 'control-1',
      listen: at(7_300),
      adminListen: at(7_400),
      dataFolder: 'data',
      secretFile: 'secret',
      initialVoters: [{ id: 'control-1', ...at(7_300) }],
    }),
    args: (settingsFile) => ['--settings', settingsFile, '--initialize'],
  },
  'egret-entry': {
    file: 'src/bin/egret-entry.js',
    module: 'entry/server/EntryServer.js',
    startedEvent: 'entry_started',
    settings: () => ({
      program: 'entry',
      id: 'entry-1',
      availabilityZone: 'perth',
      listen: at(7_000),
      peerListen: at(7_100),
      adminListen: at(7_200),
      secretFile: 'secret',
      controlHosts: [{ id: 'control-1', ...at(7_300) }],
      stopMs: 1_000,
    }),
    args: (settingsFile) => ['--settings', settingsFile],
  },
};

/** Module that sends a signal to its own process when that loads another module. */
function createSignalAtLoad(module: string, signal: NodeJS.Signals): string {
  const hooks = `
    let isSent = false;
    export async function load(url, context, next) {
      if (!isSent && url.endsWith(${JSON.stringify(module)})) {
        isSent = true;
        process.kill(process.pid, ${JSON.stringify(signal)});
      }
      return next(url, context);
    }`;
  const dataUrl = (source: string) => `data:text/javascript,${encodeURIComponent(source)}`;
  const register = `import { register } from 'node:module'; register(${JSON.stringify(dataUrl(hooks))});`;
  return dataUrl(register);
}

describe('a program that starts', () => {
  let folder = '';
  let child: ChildProcess | undefined;
  let output = '';

  /** Starts a program, with a signal to itself while it is being loaded if one is given. */
  function start(program: ProgramCase, signal?: NodeJS.Signals): ChildProcess {
    const settingsFile = path.join(folder, 'settings.jsonc');
    const preload = signal ? ['--import', createSignalAtLoad(program.module, signal)] : [];
    const args = [...preload, path.join(DIST, program.file), ...program.args(settingsFile)];
    child = spawn(process.execPath, args, {
      env: { PATH: process.env.PATH, EGRETCOURSE_CONFIG: settingsFile },
    });
    [child.stdout, child.stderr].forEach((stream) =>
      stream?.on('data', (chunk: Buffer) => {
        output += chunk.toString();
      }),
    );
    return child;
  }

  const hasEnded = () => child?.exitCode !== null || child?.signalCode !== null;

  const waitForEvent = (event: string) =>
    waitUntil(() => hasEnded() || output.includes(`event=${event}`), event, 20_000);

  async function writeFiles({ settings }: ProgramCase): Promise<void> {
    await mkdir(path.join(folder, 'data'));
    await writeFile(path.join(folder, 'secret'), 'a secret of the links between processes\n');
    await writeFile(path.join(folder, 'settings.jsonc'), JSON.stringify(settings(folder)));
  }

  async function stopChild(): Promise<number | null> {
    child!.kill('SIGTERM');
    const [code] = (await once(child!, 'exit')) as [number | null];
    return code;
  }

  beforeEach(async () => {
    output = '';
    folder = await mkdtemp(path.join(tmpdir(), 'egret-start-'));
  });

  afterEach(async () => {
    child?.kill('SIGKILL');
    await rm(folder, { recursive: true, force: true });
  });

  describe.each(Object.keys(PROGRAMS))('%s', (name) => {
    const program = PROGRAMS[name]!;

    // Guards against a process that SIGHUP ends because the program is not loaded yet.
    it('is not ended by a signal to reload', async () => {
      await writeFiles(program);
      start(program, 'SIGHUP');
      await waitForEvent(program.startedEvent);
      expect(child!.signalCode).toBeNull();
      expect(output).toContain(program.startedEvent);
      expect(output).toContain('event=reload_');
      expect(await stopChild()).toBe(0);
    });

    // Guards against a process that ends as the reader of its log goes away.
    it('goes on without a reader of its log', async () => {
      await writeFiles(program);
      start(program);
      await waitForEvent(program.startedEvent);
      child!.stdout!.destroy();
      child!.stderr!.destroy();
      for (let lines = 0; lines < 4; lines += 1) {
        // Each signal is logged.
        child!.kill('SIGHUP');
        // eslint-disable-next-line no-await-in-loop
        await delay(LOG_INTERVAL_MS);
      }
      expect(hasEnded()).toBe(false);
      expect(await stopChild()).toBe(0);
    });

    // Guards against a planned stop that counts as a failure because it comes during the start.
    it('ends with success after a signal to stop', async () => {
      await writeFiles(program);
      const [code, signal] = (await once(start(program, 'SIGTERM'), 'exit')) as unknown[];
      expect({ code, signal }).toEqual({ code: 0, signal: null });
    });
  });

  // Guards against processes that end because the one before them on the host still stops.
  it.each([
    ['gateway', 8542],
    ['control', 7540],
  ])('%s waits for the address of the process before it', async (name, port) => {
    const program = PROGRAMS[name]!;
    await writeFiles(program);
    const holder = createServer().listen(port, ADDRESS);
    await once(holder, 'listening');
    start(program);
    await waitForEvent('address_in_use');
    expect(output).not.toContain(program.startedEvent);
    // The process before it may still write to the folder.
    expect(await readdir(path.join(folder, 'data'))).toEqual([]);
    holder.close();
    await waitForEvent(program.startedEvent);
    expect(output).toContain(program.startedEvent);
    expect(await stopChild()).toBe(0);
  });
});
