import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { describe, expect, it } from 'vitest';
import { LOG_EVENTS } from './LogEvents.js';

/** Matches the places in the code that write an event. */
const EMISSION =
  /(?:\b(?:log|line|append)\(|logger\.(?:info|warn|error)\(|event: |\? )\s*'([a-z]+(?:_[a-z]+)+)'(?: : '([a-z]+(?:_[a-z]+)+)')?/g;

function emittedEvents(folders: readonly string[]): Set<string> {
  const events = new Set<string>();
  folders
    .flatMap((folder) =>
      readdirSync(folder, { withFileTypes: true, recursive: true })
        .filter((entry) => /(?<!\.test)\.ts$/.test(entry.name))
        .map((entry) => path.join(entry.parentPath, entry.name)),
    )
    .forEach((file) => {
      [...readFileSync(file, 'utf8').matchAll(EMISSION)].forEach(([, first, second]) => {
        if (first) events.add(first);
        if (second) events.add(second);
      });
    });
  return events;
}

describe('LOG_EVENTS', () => {
  const emitted = emittedEvents(['src/gateway', 'src/control', 'src/runtime', 'platform']);

  it('lists exactly the events that the programs write', () => {
    const listed = Object.keys(LOG_EVENTS).filter((event) => event !== 'lines_dropped');
    expect([...emitted].sort()).toEqual(listed.sort());
  });

  it('is listed in docs/LOGS.md with the same meanings', () => {
    const page = readFileSync('docs/LOGS.md', 'utf8');
    Object.entries(LOG_EVENTS).forEach(([event, meaning]) => {
      expect(page).toContain(`| \`${event}\` | ${meaning} |`);
    });
  });
});
