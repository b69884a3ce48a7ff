import { readFileSync, readdirSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { checkProcessFile } from './ProcessSettings.js';

const EXAMPLES = new URL('../../examples/', import.meta.url);

function createEntryText(changes: object = {}): string {
  return JSON.stringify({
    program: 'entry',
    id: 'entry-1',
    availabilityZone: 'yoichi',
    listen: { address: '127.0.0.1', port: 0 },
    peerListen: { address: '127.0.0.1', port: 0 },
    adminListen: { address: '127.0.0.1', port: 0 },
    controlHosts: [{ id: 'control-1', address: '127.0.0.1', port: 1 }],
    secretFile: 'secret',
    ...changes,
  });
}

describe('checkProcessFile', () => {
  it.each(readdirSync(EXAMPLES))('accepts examples/%s', (name) => {
    const checked = checkProcessFile(readFileSync(new URL(name, EXAMPLES), 'utf8'));
    expect(checked.isErr && checked.error).toBe(false);
  });

  it.each([
    ['{', 'offset 1'],
    ['[]', '/program'],
    ['{ "program": "backend" }', '/program'],
    [createEntryText({ id: 'Entry 1' }), '/id'],
    [createEntryText({ listen: { address: '', port: 70_000 } }), '/listen/address'],
    [createEntryText({ controlHosts: [] }), '/controlHosts'],
    [createEntryText({ headTimeout: 5 }), '/'],
    [createEntryText({ logLevel: 'loud' }), '/logLevel'],
  ])('refuses %s with a fault at %s', (text, path) => {
    const checked = checkProcessFile(text);
    const faults = checked.isErr ? checked.error : [];
    expect(faults.map((fault) => fault.path)).toContain(path);
    expect(faults.every((fault) => fault.remedy.length > 0)).toBe(true);
  });
});
