import { Option } from 'clipanion';
import type { AuditRecord } from '../control/ReplicatedState.js';
import type { Member } from '../control/raft/Types.js';
import { AdminRequestType } from '../control/Types.js';
import type { ChangeProgress } from './ChangeSender.js';
import { CtlCommand, renderTable } from './CtlCommand.js';
import { collectBackends, type ListedEntryHost } from './ZoneCommands.js';

/** Whether an entry host applies the newest settings; unknown if it has no session there. */
function describeCurrent({ current }: ListedEntryHost): string {
  if (current === null) return 'unknown';
  return current ? 'current' : 'behind';
}

/** `egretctl services` */
export class ServicesCommand extends CtlCommand {
  static override paths = [['services']];

  static override usage = CtlCommand.Usage({ description: 'Lists the services.' });

  protected async run(): Promise<void> {
    const listed = await this.client().send<{
      services: { service: string; team: string; openZones: string[]; policy: string }[];
    }>({ type: AdminRequestType.Services });
    const rows = listed.services.map((item) => [
      item.service,
      item.team,
      item.openZones.join(','),
      item.policy,
    ]);
    this.print(listed, renderTable(['SERVICE', 'TEAM', 'OPEN-ZONES', 'POLICY'], rows));
  }
}

/** `egretctl backends` */
export class BackendsCommand extends CtlCommand {
  static override paths = [['backends']];

  static override usage = CtlCommand.Usage({
    description: 'Lists the announced backend servers that the entry hosts report.',
  });

  protected async run(): Promise<void> {
    const backends = await collectBackends(this.client());
    const rows = backends.map((item) => [
      item.service,
      item.backend,
      item.availabilityZone,
      item.leased ? item.state : `${item.state}(no lease)`,
      `${item.inFlight}/${item.limit}/${item.slots}`,
      item.latencyMs.toFixed(1),
    ]);
    const header = ['SERVICE', 'BACKEND', 'ZONE', 'STATE', 'INFLIGHT/LIMIT/SLOTS', 'LATENCY-MS'];
    this.print({ backends }, renderTable(header, rows));
  }
}

/** `egretctl entries` */
export class EntriesCommand extends CtlCommand {
  static override paths = [['entries']];

  static override usage = CtlCommand.Usage({ description: 'Lists the live entry hosts.' });

  protected async run(): Promise<void> {
    const type = AdminRequestType.EntryHosts;
    const listed = await this.client().send<{ entryHosts: ListedEntryHost[] }>({ type });
    const rows = listed.entryHosts.map((entry) => [
      entry.id,
      `${entry.address}:${entry.port}`,
      entry.availabilityZone,
      describeCurrent(entry),
      entry.settingsDigest ?? '-',
      entry.stopping ? 'stopping' : 'serving',
    ]);
    const header = ['ENTRY', 'ADDRESS', 'ZONE', 'SETTINGS', 'SETTINGS-FILE', 'STATE'];
    this.print(listed, renderTable(header, rows));
  }
}

/** `egretctl changes show ID` */
export class ChangesShowCommand extends CtlCommand {
  static override paths = [['changes', 'show']];

  static override usage = CtlCommand.Usage({
    description: 'Shows whether a change is accepted and on how many entry hosts it is in force.',
  });

  changeId = Option.String();

  protected async run(): Promise<void> {
    const type = AdminRequestType.ShowChange;
    const result = await this.client().send<ChangeProgress>({ type, changeId: this.changeId });
    const { change, progress } = result;
    const lines = [`${change.outcome} revision=${change.revision} path=${change.path}`];
    if (progress) {
      lines.push(
        `applied=${progress.applied}/${progress.entryHosts} inForce=${progress.inForce} ` +
          `behind=${progress.behind.join(',') || 'none'}`,
      );
    }
    this.print(result, lines);
  }
}

/** `egretctl audit` */
export class AuditCommand extends CtlCommand {
  static override paths = [['audit'], ['settings', 'history']];

  static override usage = CtlCommand.Usage({
    description: 'Shows who changed what, and when; newest first.',
  });

  limit = Option.String('--limit', '50', { description: 'Maximum number of records, up to 1000' });

  team = Option.String('--team', {
    description: 'Only this team; required with a token of one team',
  });

  protected async run(): Promise<void> {
    const listed = await this.client().send<{ records: AuditRecord[] }>({
      type: AdminRequestType.Audit,
      limit: Number(this.limit),
      ...(this.team === undefined ? {} : { team: this.team }),
    });
    const rows = listed.records.map((record) => [
      new Date(record.atMs).toISOString(),
      record.actor,
      record.outcome,
      record.path,
      JSON.stringify(record.from),
      JSON.stringify(record.to),
      String(record.revision),
      record.detail,
    ]);
    const header = ['TIME', 'ACTOR', 'OUTCOME', 'PATH', 'FROM', 'TO', 'REVISION', 'DETAIL'];
    this.print(listed, renderTable(header, rows));
  }
}

/** Members of the cluster as the leader lists them. */
interface ListedMembers {
  readonly leaderId: string;
  readonly commitIndex: number;
  readonly voters: readonly (Member & { matchIndex: number })[];
  readonly learners: readonly (Member & { matchIndex: number })[];
}

/** `egretctl control members` */
export class MembersCommand extends CtlCommand {
  static override paths = [['control', 'members']];

  static override usage = CtlCommand.Usage({ description: 'Lists the control hosts.' });

  protected async run(): Promise<void> {
    const type = AdminRequestType.Members;
    const listed = await this.client().send<ListedMembers>({ type });
    const row = (member: Member & { matchIndex: number }, role: string) => [
      member.id,
      `${member.address}:${member.port}`,
      member.id === listed.leaderId ? 'leader' : role,
      `${member.matchIndex}/${listed.commitIndex}`,
    ];
    const rows = [
      ...listed.voters.map((member) => row(member, 'voter')),
      ...listed.learners.map((member) => row(member, 'non-voter')),
    ];
    this.print(listed, renderTable(['MEMBER', 'ADDRESS', 'ROLE', 'MATCH/COMMIT'], rows));
  }
}

/** `egretctl control add ID ADDRESS PORT` */
export class MemberAddCommand extends CtlCommand {
  static override paths = [['control', 'add']];

  static override usage = CtlCommand.Usage({
    description: 'Adds a control host as a non-voting member.',
    details: 'Promote it with "egretctl control promote" once it has caught up.',
  });

  id = Option.String();

  address = Option.String();

  port = Option.String();

  protected async run(): Promise<void> {
    const type = AdminRequestType.AddMember;
    const { id, address } = this;
    const members = await this.client().send({ type, id, address, port: Number(this.port) });
    this.print(members, [`added ${id} as a non-voting member`]);
  }
}

/** `egretctl control promote ID` */
export class MemberPromoteCommand extends CtlCommand {
  static override paths = [['control', 'promote']];

  static override usage = CtlCommand.Usage({
    description: 'Makes a caught-up non-voting member a voter.',
  });

  id = Option.String();

  protected async run(): Promise<void> {
    const type = AdminRequestType.PromoteMember;
    const members = await this.client().send({ type, id: this.id });
    this.print(members, [`promoted ${this.id} to voter`]);
  }
}

/** `egretctl control remove ID` */
export class MemberRemoveCommand extends CtlCommand {
  static override paths = [['control', 'remove']];

  static override usage = CtlCommand.Usage({ description: 'Removes a control host.' });

  id = Option.String();

  protected async run(): Promise<void> {
    const type = AdminRequestType.RemoveMember;
    const members = await this.client().send({ type, id: this.id });
    this.print(members, [`removed ${this.id}`]);
  }
}
