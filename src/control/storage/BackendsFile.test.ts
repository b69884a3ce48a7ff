import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createBackend } from '../../gateway/fixtures.js';
import { BackendsFile } from './BackendsFile.js';

describe('BackendsFile', () => {
  let folder = '';
  const failures: unknown[] = [];
  const records = [createBackend('b-1'), createBackend('b-2')];

  beforeEach(async () => {
    failures.length = 0;
    folder = await mkdtemp(path.join(tmpdir(), 'egret-backends-'));
  });

  afterEach(() => rm(folder, { recursive: true, force: true }));

  const create = (target = folder) => new BackendsFile(target, (error) => failures.push(error));

  it('restores records that were saved recently and no older ones', async () => {
    await create().save(records, 100_000);
    expect(await create().load(102_000)).toEqual(records);
    expect(await create().load(120_000)).toEqual([]);
    // The age of the records is unknown if the clock was set back.
    expect(await create().load(80_000)).toEqual([]);
  });

  it('restores nothing if the file is missing or torn', async () => {
    expect(await create().load(0)).toEqual([]);
    await create().save(records, 0);
    const file = path.join(folder, 'backends.bin');
    const bytes = await readFile(file);
    await writeFile(file, bytes.subarray(0, bytes.length - 3));
    expect(await create().load(0)).toEqual([]);
  });

  it('reports a failed write without throwing an error', async () => {
    await create(path.join(folder, 'missing')).save(records, 0);
    expect(failures).toHaveLength(1);
  });

  // Guards against a file that appears in the folder after another process may have opened it.
  it('completes a save in progress when it is closed, and begins no other', async () => {
    const file = create();
    let saved = false;
    const saving = file.save(records, 100_000).then(() => {
      saved = true;
    });
    await file.close();
    expect(saved).toBe(true);
    await saving;
    await file.save([], 200_000);
    expect(await create().load(101_000)).toEqual(records);
  });
});
