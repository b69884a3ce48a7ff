import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster } from '../../standin/Cluster.js';
import { ADMIN_TOKEN, buildTree, OTARU } from '../../standin/Deployments.js';
import { createRoute, createTable } from '../common/routing/fixtures.js';

const DIST = fileURLToPath(new URL('../../dist/src/bin/', import.meta.url));
const EXAMPLES = fileURLToPath(new URL('../../examples/', import.meta.url));

/** Exit code and combined output of a program. */
interface ProgramResult {
  readonly code: number;
  readonly output: string;
}

function run(program: string, ...args: string[]): Promise<ProgramResult> {
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
    '%s prints its help and its version',
    async (name) => {
      expect(await run(name, '--help')).toMatchObject({ code: 0 });
      const version = await run(name, '--version');
      expect(version.code).toBe(0);
      expect(version.output.trim()).toMatch(/^\d+\.\d+\.\d+$/);
    },
  );

  it.each(['egret-entry', 'egret-control'])('%s rejects a missing settings file', async (name) => {
    const result = await run(name, '--settings', path.join(folder, 'none'));
    expect(result.code).toBe(1);
    expect(result.output).toContain('invalid-settings');
  });

  it('egretctl check validates settings files without a control host', async () => {
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
  ])('egretctl %j exits with 0 and prints %s', async (args, expected) => {
    const result = await run('egretctl', ...args, ...operator);
    expect(result.output).toContain(expected);
    expect(result.code).toBe(0);
  });

  it('settings set changes a value; conflicts and rejections set the exit code', async () => {
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

  it('egretctl routing shows and changes routes, and closes zones for every service', async () => {
    const file = path.join(folder, 'routing.jsonc');
    const table = createTable([createRoute('read')]);
    const apply = async (baseVersion: number, version: number) => {
      const change = { baseVersion, version, edit: { table } };
      await writeFile(file, `// routing\n${JSON.stringify(change)}`);
      return run('egretctl', 'routing', 'apply', file, ...operator);
    };
    expect((await apply(0, 5)).output).toContain('accepted version=5 repeated=false');
    expect((await apply(0, 5)).output).toContain('accepted version=5 repeated=true');
    expect(await apply(0, 6)).toMatchObject({ code: 3 });
    expect(await apply(5, 4)).toMatchObject({ code: 1 });
    const closed = await run('egretctl', 'routing', 'close-zone', 'yoichi', ...operator);
    expect(closed).toMatchObject({ code: 0 });
    const shown = await run('egretctl', 'routing', 'show', ...operator);
    expect(shown.output).toContain('version=5');
    expect(shown.output).toContain('closedZones=yoichi');
    expect(shown.output).toContain('read calls.example/read/ kind=idempotent');
    expect(await run('egretctl', 'routing', 'open-zone', 'yoichi', ...operator)).toMatchObject({
      code: 0,
    });
    const audit = await run('egretctl', 'audit', ...operator);
    expect(audit.output).toContain('/system/routing');
    expect(audit.output).toContain('/system/closedZones/yoichi');
  });

  it('egretctl explain prints only the log lines of the given call', async () => {
    const file = path.join(folder, 'gateway.log');
    const line = 'time=2026-01-01T00:00:00.000Z event=call_refused program=gateway host=a';
    await writeFile(file, `${line} call=c-1 reason=overloaded\n${line} call=c-2 reason=cold\n`);
    const result = await run('egretctl', 'explain', 'c-1', file);
    expect(result).toMatchObject({ code: 0 });
    expect(result.output).toContain('reason=overloaded');
    expect(result.output).not.toContain('reason=cold');
    expect(await run('egretctl', 'explain', 'none', file)).toMatchObject({ code: 1 });
  });

  it('zone out prints the projected use, and does not close the last open zone', async () => {
    const out = (zone: string) => run('egretctl', 'zone', 'out', zone, ...operator);
    const first = await out('yoichi');
    expect(first.output).toContain('PROJECTED-USE');
    expect(first.output).toContain('inForce=true');
    expect(await out('shakotan')).toMatchObject({ code: 0 });
    const last = await out('otaru-port');
    expect(last.code).toBe(3);
    expect(last.output).toContain('last open zone');
  });

  it('egretctl exits with 4 when no control host answers', async () => {
    const result = await run(
      'egretctl',
      'services',
      '--admin',
      '127.0.0.1:1',
      ...operator.slice(2),
    );
    expect(result.code).toBe(4);
  });
});
