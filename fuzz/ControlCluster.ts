import type { ControlToEntryMessage } from '../src/common/Messages.js';
import { createRandom } from '../src/common/Random.js';
import type { EgretError } from '../src/common/Errors.js';
import type { ChangeResult } from '../src/control/ReplicatedState.js';
import { linkedMembers } from '../src/control/ExchangePeers.js';
import { AdminRequestType, ControlEventType, type AdminRequest } from '../src/control/Types.js';
import { hashToken } from '../src/runtime/LinkAuth.js';
import { ADMIN_TOKEN, buildTree, OTARU } from '../standin/Deployments.js';
import { ControlHost, type LogFields } from './ControlHost.js';
import type { HeldPipe } from './HeldPipe.js';
import { Network } from './Network.js';
import { Timeline } from './Timeline.js';

/** Options of a {@link ControlCluster}. */
export interface ControlClusterOptions {
  readonly sendSession?: (sessionId: number, message: ControlToEntryMessage, from: string) => void;
  readonly log?: (event: string, fields: LogFields, from: string) => void;
  readonly entryHeartbeatTimeoutMs?: number;
  readonly count?: number;
  /** Hosts without a disk, which join after the others have started. */
  readonly observers?: number;
  /** Receives each message from one control host to another as it is sent. */
  readonly onSent?: (from: string, to: string, message: object) => void;
  readonly seed?: number;
  readonly snapshotEvery?: number;
  /** True if what is sent between control hosts arrives in order, late after a short cut. */
  readonly holdsMessages?: boolean;
}

/** Result of an administration request. */
export interface AdminOutcome {
  readonly body: unknown;
  readonly error: EgretError | null;
}

const PATH = '/teams/otaru/services/ledger/queueMax';
const STEP_MS = 10;

/** Time for the first election, and for observers to join. */
const START_MS = 4_000;
const ANSWER_TIMEOUT_MS = 5_000;

/** Control hosts without other hosts, in virtual time, for focused tests of failures. */
export class ControlCluster {
  readonly timeline = new Timeline();

  readonly network: Network;

  readonly hosts = new Map<string, ControlHost>();

  private readonly random;

  private readonly voters;

  private readonly snapshotEvery: number;

  private nextChange = 1;

  constructor(private readonly options: ControlClusterOptions = {}) {
    this.random = createRandom(options.seed ?? 1);
    this.network = new Network(this.timeline, this.random, {
      minDelayMs: 0.5,
      maxDelayMs: 5,
      dropRatio: 0,
      duplicateRatio: 0,
    });
    this.snapshotEvery = options.snapshotEvery ?? 100_000;
    this.voters = Array.from({ length: options.count ?? 3 }, (unused, index) => ({
      id: `control-${index}`,
      address: `control-${index}`,
      port: 1,
    }));
    this.voters.forEach((voter) => this.addHost(voter.id));
    this.run(START_MS);
    this.addObservers(options.observers ?? 0);
  }

  private addObservers(count: number): void {
    Array.from({ length: count }, (unused, index) => `observer-${index}`).forEach((id) => {
      this.addHost(id, { observer: true });
      const member = { id, address: id, port: 1, observer: true };
      this.leader().handle({ type: ControlEventType.Join, member });
    });
    if (count > 0) this.run(START_MS);
  }

  /** Opens the links of all others to a host again, as after their loss. */
  relink(id: string): void {
    const host = this.host(id);
    this.hosts.forEach((other) => {
      const { log } = other.reducer.raft.state;
      const { observer: isObserver } = other.options;
      const linked = linkedMembers(log, { selfId: other.options.id, isObserver });
      if (linked.some((member) => member.id === id)) other.linkTo([host]);
    });
  }

  run(spanMs: number): void {
    this.timeline.advance(spanMs);
  }

  host(id: string): ControlHost {
    return this.hosts.get(id)!;
  }

  /** Starts a host with an empty disk. Unless it is an initial voter, add it as a member. */
  addHost(id: string, { observer = false } = {}): ControlHost {
    const host = new ControlHost({
      id,
      timeline: this.timeline,
      random: this.random,
      voters: this.voters.some((voter) => voter.id === id) ? this.voters : [],
      tree: buildTree([OTARU]),
      clockRate: 1,
      snapshotEvery: this.snapshotEvery,
      sendRaft: (to, message) =>
        this.send(id, to, message, () =>
          this.hosts.get(to)?.handle({ type: ControlEventType.RaftMessage, message }),
        ),
      sendSession: (sessionId, message) => this.options.sendSession?.(sessionId, message, id),
      sendControl: (to, message) =>
        this.send(id, to, message, () =>
          this.hosts.get(to)?.handle({ type: ControlEventType.ControlPeerMessage, message }),
        ),
      log: (event, fields) => this.options.log?.(event, fields, id),
      entryHeartbeatTimeoutMs: this.options.entryHeartbeatTimeoutMs,
      availabilityZone: id,
      observer,
      ...(this.options.observers && { autoMembership: { targetVoters: this.voters.length } }),
    });
    this.hosts.set(id, host);
    return host;
  }

  /** Connections between control hosts, by both names. */
  private readonly pipes = new Map<string, HeldPipe>();

  private send(from: string, to: string, message: object, deliver: () => void): void {
    this.options.onSent?.(from, to, message);
    if (this.options.holdsMessages) this.pipe(from, to).send(deliver);
    else this.network.send(from, to, deliver);
  }

  /** Connection from one control host to another. */
  pipe(from: string, to: string): HeldPipe {
    const key = `${from} ${to}`;
    const pipe = this.pipes.get(key) ?? this.network.connect(from, to);
    this.pipes.set(key, pipe);
    return pipe;
  }

  /** The leader of the highest term, which is the one that a majority follows. */
  leader(): ControlHost {
    const leaders = [...this.hosts.values()].filter(
      (host) => host.alive && host.reducer.raft.isLeader,
    );
    leaders.sort((a, b) => b.reducer.raft.state.term - a.reducer.raft.state.term);
    if (!leaders[0]) throw new Error('no running control host is leader');
    return leaders[0];
  }

  /** Sends a request to one host and waits for the answer; undefined if there was none. */
  admin(host: ControlHost, request: AdminRequest): AdminOutcome | undefined {
    let outcome: AdminOutcome | undefined;
    host.admin(request, hashToken(ADMIN_TOKEN), (body, error) => {
      outcome = { body, error };
    });
    for (let waitedMs = 0; !outcome && waitedMs < ANSWER_TIMEOUT_MS; waitedMs += STEP_MS) {
      this.run(STEP_MS);
    }
    return outcome;
  }

  /** Changes a setting; undefined if it was not acknowledged. */
  change(host: ControlHost, value: number, overrides: Partial<ChangeOverrides> = {}) {
    const changeId = overrides.changeId ?? `change-${this.nextChange}`;
    this.nextChange += 1;
    const outcome = this.admin(host, {
      type: AdminRequestType.Change,
      changeId,
      baseRevision: overrides.baseRevision ?? host.reducer.replicatedState.subtreeRevision('otaru'),
      path: PATH,
      value,
    });
    return outcome && !outcome.error ? (outcome.body as ChangeResult) : undefined;
  }
}

/** Value of the setting of {@link ControlCluster.change} as applied on a host. */
export function valueAt(host: ControlHost): number {
  return host.reducer.replicatedState.tree.teams.otaru!.services.ledger!.queueMax;
}

/** Parts of a change that a test may override. */
export interface ChangeOverrides {
  readonly changeId: string;
  readonly baseRevision: number;
}
