import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { reservePorts, waitUntil } from '../../../standin/Cluster.js';
import { LogLevel, Role } from '../../common/Enums.js';
import { ErrorKind } from '../../common/Errors.js';
import { ControlMessageType } from '../../common/Messages.js';
import { ProgramKind } from '../../common/ProcessSettings.js';
import { createTable } from '../../common/routing/fixtures.js';
import { createEntryHost } from '../../gateway/fixtures.js';
import { ControlWatch } from '../../gateway/server/ControlWatch.js';
import { silentLogger } from '../../runtime/Logger.js';
import { AdminRequestType } from '../Types.js';
import type { ControlServer } from './ControlServer.js';
import { openSingleControl } from './fixtures.js';

const ADDRESS = '127.0.0.1';
const OPERATOR = { name: 'operator', team: '*', role: Role.Administrator };
const APPLY_MS = 600;

/** Time for which an operator sends a change again, far longer than an election. */
const ATTEMPTS = 50;
const RETRY_MS = 200;

describe('three control hosts over loopback', () => {
  let folder = '';
  let controls: ControlServer[] = [];

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'egret-in-force-'));
    const ports = await reservePorts(3);
    const initialVoters = ports.map((port, index) => ({
      id: `control-${index}`,
      address: ADDRESS,
      port,
    }));
    controls = await Promise.all(
      initialVoters.map(({ id, port }) =>
        openSingleControl(path.join(folder, id), {
          file: {
            program: ProgramKind.Control,
            id,
            availabilityZone: 'perth',
            listen: { address: ADDRESS, port },
            adminListen: { address: ADDRESS, port: 0 },
            dataFolder: path.join(folder, id),
            secretFile: '',
            initialVoters,
            logLevel: LogLevel.Error,
          },
        }),
      ),
    );
    await Promise.all(controls.map((control) => control.start()));
    await waitUntil(() => controls.some(({ reducer }) => reducer.raft.isLeader), 'a leader');
  });

  afterEach(async () => {
    await Promise.all(controls.map((control) => control.stop()));
    await rm(folder, { recursive: true, force: true });
  });

  // Guards against reports between control hosts that are not sent, or not understood.
  it('confirm a change once a gateway that is linked to a follower applies it', async () => {
    const leader = controls.find(({ reducer }) => reducer.raft.isLeader)!;
    const follower = controls.find((control) => control !== leader)!;
    let routingIndex = 0;
    const watch = new ControlWatch({
      self: () => createEntryHost('entry-1'),
      secret: 'secret',
      logger: silentLogger,
      seeds: () => [{ address: ADDRESS, port: follower.port }],
      followMembership: false,
      routingIndex: () => routingIndex,
      departures: () => [],
      onMessage: (message) => {
        if (message.type !== ControlMessageType.Routing) return;
        const { index } = message.view;
        sleep(APPLY_MS).then(
          () => {
            routingIndex = index;
          },
          () => {},
        );
      },
      onLost: () => {},
    });
    // Hosts that start together may hold another election, after which the change is sent again.
    const change = async (version: number, attemptsLeft = ATTEMPTS): Promise<void> => {
      const request = {
        type: AdminRequestType.ChangeRouting,
        changeId: `change-${version}`,
        baseVersion: version - 1,
        version,
        edit: { table: createTable() },
      } as const;
      const current = controls.find(({ reducer }) => reducer.raft.isLeader) ?? leader;
      const { error } = await current.submitAuthenticated(request, OPERATOR);
      if (!error) return;
      expect([error.kind, attemptsLeft > 0]).toEqual([ErrorKind.NoQuorum, true]);
      await sleep(RETRY_MS);
      await change(version, attemptsLeft - 1);
    };
    await change(1);
    await waitUntil(() => routingIndex > 0, 'a subscription');
    const sentAtMs = performance.now();
    await change(2);
    expect(routingIndex).toBe(follower.reducer.replicatedState.routing.view.index);
    expect(performance.now() - sentAtMs).toBeGreaterThanOrEqual(APPLY_MS);
    watch.dispose();
  });
});
