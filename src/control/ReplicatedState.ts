import { Packr } from 'msgpackr';
import { ErrorKind, type EgretError } from '../common/Errors.js';
import type { SettingsTree } from '../common/SettingsSchema.js';
import { checkTree, readPath, subtreeOf, writePath } from '../common/SettingsTree.js';
import { ClaimTable, type ClaimRecord, type ClaimResult } from './ClaimTable.js';
import {
  RoutingState,
  RoutingVerdict,
  type RoutingResult,
  type RoutingSnapshot,
} from './RoutingState.js';
import type { RoutingChangeCommand, ZoneClosureCommand } from './RoutingCommands.js';
import type { RolloutOrderResult } from './rollouts/RolloutBook.js';
import {
  RolloutOrderVerdict,
  type RolloutOrderCommand,
  type RolloutVerdictCommand,
} from './rollouts/RolloutCommands.js';
import {
  CommandType,
  type BootstrapCommand,
  type ChangeCommand,
  type ClaimCommand,
  type Command,
  type MembershipCommand,
  type RefusalCommand,
  type SettleCommand,
} from './Commands.js';

/** Outcome of an operator's request in the audit trail. */
export enum AuditOutcome {
  Accepted = 'accepted',
  Conflict = 'conflict',
  Refused = 'refused',
}

/** One line of the audit trail. */
export interface AuditRecord {
  readonly atMs: number;
  readonly actor: string;
  readonly path: string;
  readonly changeId: string;
  readonly from: unknown;
  readonly to: unknown;
  readonly outcome: AuditOutcome;
  /** Revision of the settings; that of the subtree for a conflict or an invalid change. */
  readonly revision: number;
  readonly detail: string;
}

/** Result of a change, stored under its change id. */
export interface ChangeResult {
  readonly changeId: string;
  readonly outcome: AuditOutcome;
  /** Revision of an accepted change; otherwise the current revision of the subtree. */
  readonly revision: number;
  /** Log index of the change; 0 unless accepted. */
  readonly index: number;
  readonly path: string;
  readonly atMs: number;
  readonly detail: string;
}

/** Accepted change of the settings tree, as entry hosts receive it. */
export interface SettingsDelta {
  readonly previousIndex: number;
  readonly index: number;
  readonly revision: number;
  readonly path: string;
  readonly value: unknown;
}

/** Result of applying one command. */
export interface ApplyResult {
  readonly change: ChangeResult | null;
  readonly claim: ClaimResult | null;
  readonly settled: boolean;
  /** Present for a change of the routing table. */
  readonly routing?: RoutingResult;
  /** Present for an order of a rollout. */
  readonly rolloutOrder?: RolloutOrderResult;
  /** True if entry hosts need the new routing. */
  readonly routingChanged?: boolean;
  /** Change of the settings tree, if the command made one. */
  readonly delta: SettingsDelta | null;
  /** True if the tree was replaced as a whole. */
  readonly replaced: boolean;
}

/** Serialized form of the replicated state. */
interface ReplicatedSnapshot {
  readonly tree: SettingsTree;
  readonly revision: number;
  readonly settingsIndex: number;
  readonly subtreeRevisions: Record<string, number>;
  readonly clockMs: number;
  readonly changeResults: ChangeResult[];
  readonly audit: AuditRecord[];
  readonly claims: ClaimRecord[];
  readonly routing?: RoutingSnapshot;
}

const ROUTING_AUDIT: Record<RoutingVerdict, AuditOutcome> = {
  [RoutingVerdict.Accepted]: AuditOutcome.Accepted,
  [RoutingVerdict.Conflict]: AuditOutcome.Conflict,
  [RoutingVerdict.Invalid]: AuditOutcome.Refused,
};

/** Numbers of records kept; the oldest are dropped first. */
const MAX_CHANGE_RESULTS = 50_000;
const MAX_AUDIT_RECORDS = 50_000;

/** Codec of snapshots; plain maps, so that other programs can read them. */
const codec = new Packr({ useRecords: false });

const NO_EFFECT: ApplyResult = {
  change: null,
  claim: null,
  settled: false,
  delta: null,
  replaced: false,
};

/** Deterministic state machine to which every control host applies the committed commands. */
export class ReplicatedState {
  tree: SettingsTree;

  /** Number of accepted changes. */
  revision = 0;

  /** Log index of the last accepted change. */
  settingsIndex = 0;

  /** Highest timestamp of the commands applied so far, in Unix milliseconds. */
  clockMs = 0;

  claims = new ClaimTable();

  readonly routing = new RoutingState();

  private subtreeRevisions = new Map<string, number>();

  private changeResults = new Map<string, ChangeResult>();

  private audit: AuditRecord[] = [];

  constructor() {
    this.tree = checkTree({}).unwrapOrElse((faults) => {
      throw new Error(faults.map((fault) => fault.message).join(' '));
    });
  }

  /** Applies one committed command. */
  apply(index: number, command: Command): ApplyResult {
    if ('atMs' in command) this.clockMs = Math.max(this.clockMs, command.atMs);
    const handler = this.handlers[command.type] as (
      cmd: Command,
      entryIndex: number,
    ) => ApplyResult;
    return handler(command, index);
  }

  /** Revision that a change of the subtree must have as its base. */
  subtreeRevision(subtree: string): number {
    return this.subtreeRevisions.get(subtree) ?? 0;
  }

  /** Result of the first request with this change id. */
  changeResult(changeId: string): ChangeResult | undefined {
    return this.changeResults.get(changeId);
  }

  /** Latest audit records, newest first, optionally of one team. */
  auditTrail(limit: number, team?: string): AuditRecord[] {
    const prefix = team && `/teams/${team}/`;
    const matching = prefix
      ? this.audit.filter((record) => `${record.path}/`.startsWith(prefix))
      : this.audit;
    return matching.slice(-limit).reverse();
  }

  toBytes(): Uint8Array {
    const snapshot: ReplicatedSnapshot = {
      tree: this.tree,
      revision: this.revision,
      settingsIndex: this.settingsIndex,
      subtreeRevisions: Object.fromEntries(this.subtreeRevisions),
      clockMs: this.clockMs,
      changeResults: [...this.changeResults.values()],
      audit: this.audit,
      claims: this.claims.toRecords(),
      routing: this.routing.toSnapshot(),
    };
    return codec.pack(snapshot);
  }

  /** Replaces the whole state with that of a snapshot. */
  restore(bytes: Uint8Array): void {
    if (bytes.length === 0) return;
    const snapshot = codec.unpack(bytes) as ReplicatedSnapshot;
    this.tree = snapshot.tree;
    this.revision = snapshot.revision;
    this.settingsIndex = snapshot.settingsIndex;
    this.subtreeRevisions = new Map(Object.entries(snapshot.subtreeRevisions));
    this.clockMs = snapshot.clockMs;
    this.changeResults = new Map(snapshot.changeResults.map((item) => [item.changeId, item]));
    this.audit = snapshot.audit;
    this.claims = new ClaimTable(snapshot.claims);
    this.routing.restore(snapshot.routing);
  }

  private readonly handlers = {
    [CommandType.Noop]: (): ApplyResult => NO_EFFECT,
    [CommandType.Membership]: (command: MembershipCommand) => this.applyMembership(command),
    [CommandType.Bootstrap]: (command: BootstrapCommand, index: number) =>
      this.applyBootstrap(index, command),
    [CommandType.Change]: (command: ChangeCommand, index: number) =>
      this.applyChange(index, command),
    [CommandType.Refusal]: (command: RefusalCommand) => this.applyRefusal(command),
    [CommandType.Claim]: (command: ClaimCommand): ApplyResult => ({
      ...NO_EFFECT,
      claim: this.claims.claim(command, this.clockMs, this.tree.system.claimRetentionMs),
    }),
    [CommandType.Settle]: (command: SettleCommand): ApplyResult => ({
      ...NO_EFFECT,
      settled: this.claims.settle(command),
    }),
    [CommandType.RoutingChange]: (command: RoutingChangeCommand, index: number) =>
      this.applyRouting(index, command),
    [CommandType.ZoneClosure]: (command: ZoneClosureCommand, index: number) =>
      this.applyZoneClosure(index, command),
    [CommandType.RolloutOrder]: (command: RolloutOrderCommand, index: number) =>
      this.applyRolloutOrder(index, command),
    [CommandType.RolloutVerdict]: (command: RolloutVerdictCommand, index: number) =>
      this.applyRolloutVerdict(index, command),
  };

  private applyRolloutOrder(index: number, command: RolloutOrderCommand): ApplyResult {
    const rolloutOrder = this.routing.orderRollout(index, command);
    const { verdict, repeated } = rolloutOrder;
    const accepted = verdict === RolloutOrderVerdict.Accepted;
    if (!repeated) {
      this.appendAuditRecord({
        atMs: command.atMs,
        actor: command.actor,
        path: `/system/rollouts/${command.service}`,
        changeId: '',
        from: null,
        to: command.toVersion,
        outcome: accepted ? AuditOutcome.Accepted : AuditOutcome.Refused,
        revision: this.revision,
        detail: verdict,
      });
    }
    return { ...NO_EFFECT, rolloutOrder, routingChanged: accepted && !repeated };
  }

  private applyRolloutVerdict(index: number, command: RolloutVerdictCommand): ApplyResult {
    const routingChanged = this.routing.changeRollout(index, command);
    if (routingChanged) {
      this.appendAuditRecord({
        atMs: command.atMs,
        actor: command.actor,
        path: `/system/rollouts/${command.service}`,
        changeId: '',
        from: null,
        to: { state: command.state, share: command.share },
        outcome: AuditOutcome.Accepted,
        revision: this.revision,
        detail: command.reason,
      });
    }
    return { ...NO_EFFECT, routingChanged };
  }

  private applyRouting(index: number, command: RoutingChangeCommand): ApplyResult {
    const before = this.routing.view.version;
    const routing = this.routing.change(index, command);
    const accepted = routing.verdict === RoutingVerdict.Accepted;
    if (!routing.repeated) {
      this.appendAuditRecord({
        atMs: command.atMs,
        actor: command.actor,
        path: '/system/routing',
        changeId: command.changeId,
        from: before,
        to: command.version,
        outcome: ROUTING_AUDIT[routing.verdict],
        revision: this.revision,
        detail: routing.detail,
      });
    }
    return { ...NO_EFFECT, routing, routingChanged: accepted && !routing.repeated };
  }

  private applyZoneClosure(index: number, command: ZoneClosureCommand): ApplyResult {
    const routingChanged = this.routing.closeZone(index, command);
    this.appendAuditRecord({
      atMs: command.atMs,
      actor: command.actor,
      path: `/system/closedZones/${command.zone}`,
      changeId: '',
      from: routingChanged ? !command.closed : command.closed,
      to: command.closed,
      outcome: AuditOutcome.Accepted,
      revision: this.revision,
      detail: '',
    });
    return { ...NO_EFFECT, routingChanged };
  }

  private applyMembership(command: MembershipCommand): ApplyResult {
    const ids = (members: readonly { id: string }[]) => members.map((member) => member.id);
    this.appendAuditRecord({
      atMs: command.atMs,
      actor: command.actor,
      path: '/system/controlHosts',
      changeId: '',
      from: null,
      to: { voters: ids(command.membership.voters), learners: ids(command.membership.learners) },
      outcome: AuditOutcome.Accepted,
      revision: this.revision,
      detail: '',
    });
    return NO_EFFECT;
  }

  private applyBootstrap(index: number, command: BootstrapCommand): ApplyResult {
    if (this.revision > 0) return NO_EFFECT;
    this.tree = command.tree;
    this.revision = 1;
    this.settingsIndex = index;
    this.subtreeRevisions.set('system', 1);
    Object.keys(command.tree.teams).forEach((team) => this.subtreeRevisions.set(team, 1));
    return { ...NO_EFFECT, replaced: true };
  }

  private applyRefusal(command: RefusalCommand): ApplyResult {
    this.appendAuditRecord({
      atMs: command.atMs,
      actor: command.actor,
      path: command.path,
      changeId: '',
      from: null,
      to: null,
      outcome: AuditOutcome.Refused,
      revision: this.revision,
      detail: command.kind,
    });
    return NO_EFFECT;
  }

  private applyChange(index: number, command: ChangeCommand): ApplyResult {
    const stored = this.changeResults.get(command.changeId);
    if (stored) return { ...NO_EFFECT, change: stored };
    const subtree = subtreeOf(command.path).unwrapOr('');
    const current = this.subtreeRevision(subtree);
    if (command.baseRevision !== current) {
      const detail = `${ErrorKind.Conflict}: base revision ${command.baseRevision}, current ${current}`;
      return this.storeChangeResult(command, AuditOutcome.Conflict, current, 0, detail);
    }
    const written = writePath(this.tree, command.path, command.value);
    if (written.isErr) return this.refuseChange(command, current, written.error);
    const from = readPath(this.tree, command.path) ?? null;
    const previousIndex = this.settingsIndex;
    this.tree = written.value;
    this.revision += 1;
    this.settingsIndex = index;
    this.subtreeRevisions.set(subtree, this.revision);
    const result = this.storeChangeResult(
      command,
      AuditOutcome.Accepted,
      this.revision,
      index,
      '',
      from,
    );
    const delta = {
      previousIndex,
      index,
      revision: this.revision,
      path: command.path,
      value: command.value,
    };
    return { ...result, delta };
  }

  private refuseChange(command: ChangeCommand, revision: number, error: EgretError): ApplyResult {
    return this.storeChangeResult(command, AuditOutcome.Refused, revision, 0, error.message);
  }

  private storeChangeResult(
    command: ChangeCommand,
    outcome: AuditOutcome,
    revision: number,
    index: number,
    detail: string,
    from: unknown = null,
  ): ApplyResult {
    const { changeId, path, atMs } = command;
    const change = { changeId, outcome, revision, index, path, atMs, detail };
    this.changeResults.set(changeId, change);
    if (this.changeResults.size > MAX_CHANGE_RESULTS) {
      const [oldest] = this.changeResults.keys();
      if (oldest !== undefined) this.changeResults.delete(oldest);
    }
    this.appendAuditRecord({
      atMs,
      actor: command.actor,
      path,
      changeId,
      from,
      to: command.value,
      outcome,
      revision,
      detail,
    });
    return { ...NO_EFFECT, change };
  }

  private appendAuditRecord(record: AuditRecord): void {
    this.audit.push(record);
    if (this.audit.length > MAX_AUDIT_RECORDS) this.audit.splice(0, MAX_AUDIT_RECORDS / 10);
  }
}
