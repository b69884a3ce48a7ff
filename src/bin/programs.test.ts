import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster } from '../../standin/Cluster.js';
import { ADMIN_TOKEN, buildTree, OTARU } from '../../standin/Deployments.js';

const DIST = fileURLToPath(new URL('../../dist/src/bin/', import.meta.url));
const EXAMPLES = fileURLToPath(new URL('../../examples/', import.meta.url));

/** Result of a program. */
interface Ran {
  readonly code: number;
  readonly output: string;
}

function run(program: string, ...args: string[]): Promise<Ran> {
  return new Promise((resolve) => {
    const file = path.join(DIST, `${program}.js`);
    execFile(process.execPath, [file, ...args], (error, stdout, stderr) => {
      const code = typeof error?.code === 'number' ? error.code : 0;
      resolve({ code, output: stdout + stderr });
    });
  });
}

describe('programs', () => {
  let folder = '';
  let cluster: Cluster;
  let operator: string[] = [];

  beforeAll(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'egret-bin-'));
    cluster = await Cluster.start({
      deployments: [OTARU],
      tree: buildTree([OTARU]),
      backendsPerService: 3,
    });
    const tokenFile = path.join(folder, 'token');
    await writeFile(tokenFile, `${ADMIN_TOKEN}\n`);
    const admin = `127.0.0.1:${cluster.controls[0]!.adminPort}`;
    operator = ['--admin', admin, '--token-file', tokenFile];
    await cluster.waitReady();
  });

  afterAll(async () => {
    await cluster.stop();
    await rm(folder, { recursive: true, force: true });
  });

  it.each(['egret-entry', 'egret-control', 'egretctl'])(
    '%s has help and a version',
    async (name) => {
      expect(await run(name, '--help')).toMatchObject({ code: 0 });
      const version = await run(name, '--version');
      expect(version.code).toBe(0);
      expect(version.output.trim()).toMatch(/^\d+\.\d+\.\d+$/);
    },
  );

  it.each(['egret-entry', 'egret-control'])('%s refuses a missing settings file', async (name) => {
    const ran = await run(name, '--settings', path.join(folder, 'none'));
    expect(ran.code).toBe(1);
    expect(ran.output).toContain('invalid-settings');
  });

  it('checks settings files offline', async () => {
    const good = await run('egretctl', 'check', path.join(EXAMPLES, 'otaru-control.jsonc'));
    expect(good).toMatchObject({ code: 0 });
    const file = path.join(folder, 'bad.jsonc');
    await writeFile(file, '{ "program": "entry", "id": "UPPER" }');
    const bad = await run('egretctl', 'check', file);
    expect(bad.code).toBe(1);
    expect(bad.output).toContain('/id');
    expect(bad.output).toContain('/controlHosts');
  });

  it.each([
    [['services'], 'ledger'],
    [['entries'], 'entry-0'],
    [['backends'], 'chartroom'],
    [['zone', 'list'], 'shakotan'],
    [['control', 'members'], 'leader'],
    [['settings', 'get', '/system/leaseMs'], '3000'],
    [['audit', '--json'], '"records"'],
  ])('egretctl %j', async (args, expected) => {
    const ran = await run('egretctl', ...args, ...operator);
    expect(ran.output).toContain(expected);
    expect(ran.code).toBe(0);
  });

  it('changes settings, and reports conflicts and refusals by exit code', async () => {
    const setting = '/teams/otaru/services/ledger/queueMax';
    const set = (value: string, ...more: string[]) =>
      run('egretctl', 'settings', 'set', setting, value, ...more, ...operator);
    expect(await set('77', '--change-id', 'first')).toMatchObject({ code: 0 });
    const shown = await run('egretctl', 'changes', 'show', 'first', ...operator);
    expect(shown.output).toContain('accepted');
    expect(await set('78', '--base', '1')).toMatchObject({ code: 3 });
    const refused = await set('200000');
    expect(refused.code).toBe(1);
    expect(refused.output).toContain('at most 100000');
    const history = await run('egretctl', 'settings', 'history', ...operator);
    expect(history.output).toContain('conflict');
  });

  it('projects the use of a zone change, and keeps the last zone open', async () => {
    const out = (zone: string) => run('egretctl', 'zone', 'out', zone, ...operator);
    const first = await out('yoichi');
    expect(first.output).toContain('PROJECTED-USE');
    expect(first.output).toContain('inForce=true');
    expect(await out('shakotan')).toMatchObject({ code: 0 });
    const last = await out('otaru-port');
    expect(last.code).toBe(3);
    expect(last.output).toContain('last open zone');
  });

  it('exits with 4 when no control host answers', async () => {
    const ran = await run('egretctl', 'services', '--admin', '127.0.0.1:1', ...operator.slice(2));
    expect(ran.code).toBe(4);
  });
});
