import { Option } from 'clipanion';
import { API_PREFIX, MAX_MESSAGE_BYTES } from '../common/Constants.js';
import { ZoneState } from '../common/Enums.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import type { TeamSettings } from '../common/SettingsSchema.js';
import { AdminRequestType } from '../control/Types.js';
import type { BackendListItem } from '../entry/server/BackendList.js';
import { requestJson } from '../runtime/JsonRequest.js';
import type { AdminClient } from './AdminClient.js';
import { sendChange, waitInForce, type SettingsValue } from './ChangeSender.js';
import { CtlCommand, renderTable } from './CtlCommand.js';

/** Entry host as the control hosts list it. */
export interface ListedEntryHost {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly adminAddress: string;
  readonly adminPort: number;
  readonly availabilityZone: string;
  readonly stopping: boolean;
  /** Null if it has sessions at other control hosts only. */
  readonly appliedIndex: number | null;
  readonly current: boolean | null;
  /** Digest of the settings file that it runs; earlier versions omit it. */
  readonly settingsDigest?: string;
}

/** Projected use of a service's slots while an availability zone is out of service. */
interface ProjectedUse {
  readonly service: string;
  readonly slotsNow: number;
  readonly slotsLeft: number;
  readonly inFlight: number;
}

const LIST_TIMEOUT_MS = 2_000;
const IN_FORCE_TIMEOUT_MS = 30_000;
const PERCENT = 100;

/** Collects the backend servers from every entry host; hosts that don't answer are left out. */
export async function collectBackends(client: AdminClient): Promise<BackendListItem[]> {
  const listed = await client.send<{ entryHosts: ListedEntryHost[] }>({
    type: AdminRequestType.EntryHosts,
  });
  const lists = await Promise.all(
    listed.entryHosts.map(async (entry) => {
      try {
        const answer = await requestJson({
          host: entry.adminAddress,
          port: entry.adminPort,
          path: `${API_PREFIX}/backends`,
          timeoutMs: LIST_TIMEOUT_MS,
          bodyBytesMax: MAX_MESSAGE_BYTES,
        });
        return (answer.body as { backends: BackendListItem[] }).backends;
      } catch {
        return [];
      }
    }),
  );
  return lists.flat();
}

/** Projects the use of each service's slots while `zone` is out of service. */
export function projectUse(
  backends: readonly BackendListItem[],
  services: readonly string[],
  zone: string,
): ProjectedUse[] {
  return services.map((service) => {
    const serviceBackends = backends.filter((item) => item.service === service && item.leased);
    const sum = (items: readonly BackendListItem[], field: 'slots' | 'inFlight') =>
      items.reduce((total, item) => total + item[field], 0);
    const remaining = serviceBackends.filter((item) => item.availabilityZone !== zone);
    return {
      service,
      slotsNow: sum(serviceBackends, 'slots'),
      slotsLeft: sum(remaining, 'slots'),
      inFlight: sum(serviceBackends, 'inFlight'),
    };
  });
}

/** Finds the team whose settings contain an availability zone. */
async function findTeamOfZone(client: AdminClient, zone: string, team: string | undefined) {
  const type = AdminRequestType.GetSettings;
  const path = team === undefined ? '/teams' : `/teams/${team}`;
  const current = await client.send<SettingsValue>({ type, path });
  const teams =
    team === undefined
      ? (current.value as Record<string, TeamSettings>)
      : { [team]: current.value as TeamSettings };
  const found = Object.entries(teams).find(([, settings]) => zone in settings.availabilityZones);
  if (found) return { team: found[0], settings: found[1] };
  throw new EgretError(ErrorKind.NotFound, `The settings have no availability zone ${zone}.`);
}

/** Base class of the commands that take a zone out of service or return it to service. */
abstract class ZoneChangeCommand extends CtlCommand {
  zone = Option.String();

  team = Option.String('--team', process.env.EGRET_TEAM ?? '', {
    description: 'Team of the zone (EGRET_TEAM); required with a token of one team',
  });

  protected abstract readonly state: ZoneState;

  /** Runs checks before the change and returns the lines to print with the result. */
  protected abstract readonly prepare: (
    client: AdminClient,
    settings: TeamSettings,
  ) => Promise<string[]>;

  protected async run(): Promise<void> {
    const client = this.client();
    const found = await findTeamOfZone(client, this.zone, this.team || undefined);
    const notes = await this.prepare(client, found.settings);
    const change = await sendChange(client, {
      path: `/teams/${found.team}/availabilityZones/${this.zone}/state`,
      value: this.state,
    });
    const latest = await waitInForce(client, change.changeId, IN_FORCE_TIMEOUT_MS);
    const progress = latest.progress!;
    this.print({ ...latest, notes }, [
      ...notes,
      `zone=${this.zone} state=${this.state} revision=${change.revision} ` +
        `inForce=${progress.inForce} applied=${progress.applied}/${progress.entryHosts}`,
    ]);
    if (!progress.inForce) {
      const detail = `The change is accepted but not in force; behind: ${progress.behind.join()}.`;
      throw new EgretError(ErrorKind.NoQuorum, detail);
    }
  }
}

/** `egretctl zone out ZONE` */
export class ZoneOutCommand extends ZoneChangeCommand {
  static override paths = [['zone', 'out']];

  static override usage = CtlCommand.Usage({
    description: 'Takes an availability zone out of service.',
    details:
      'Shows the projected use of the remaining slots first, and refuses to close the last zone ' +
      'of a service without --force.',
  });

  force = Option.Boolean('--force', false, { description: 'Close the last zone of a service too' });

  protected readonly state = ZoneState.Out;

  protected readonly prepare = async (
    client: AdminClient,
    settings: TeamSettings,
  ): Promise<string[]> => {
    const isOpen = (zone: string) => settings.availabilityZones[zone]?.state === ZoneState.In;
    const affected = Object.entries(settings.services).filter(([, service]) =>
      service.availabilityZones.includes(this.zone),
    );
    const unserved = affected
      .filter(
        ([, service]) =>
          !service.availabilityZones.some((zone) => zone !== this.zone && isOpen(zone)),
      )
      .map(([service]) => service);
    if (unserved.length > 0 && !this.force) {
      const detail = `${this.zone} is the last open zone of ${unserved.join(', ')}; use --force.`;
      throw new EgretError(ErrorKind.Conflict, detail);
    }
    const services = affected.map(([service]) => service);
    const projected = projectUse(await collectBackends(client), services, this.zone);
    const rows = projected.map((use) => [
      use.service,
      String(use.slotsNow),
      String(use.slotsLeft),
      `${use.slotsLeft > 0 ? Math.round((use.inFlight / use.slotsLeft) * PERCENT) : PERCENT}%`,
    ]);
    return renderTable(['SERVICE', 'SLOTS', 'SLOTS-LEFT', 'PROJECTED-USE'], rows);
  };
}

/** Returning a zone to service needs no check. */
const skipChecks = async (): Promise<string[]> => [];

/** `egretctl zone in ZONE` */
export class ZoneInCommand extends ZoneChangeCommand {
  static override paths = [['zone', 'in']];

  static override usage = CtlCommand.Usage({
    description: 'Brings an availability zone back; its backend servers start cold.',
  });

  protected readonly state = ZoneState.In;

  protected readonly prepare = skipChecks;
}

/** `egretctl zone list` */
export class ZoneListCommand extends CtlCommand {
  static override paths = [['zone', 'list']];

  static override usage = CtlCommand.Usage({ description: 'Lists the availability zones.' });

  team = Option.String('--team', process.env.EGRET_TEAM ?? '', { description: 'Only this team' });

  protected async run(): Promise<void> {
    const type = AdminRequestType.GetSettings;
    const path = this.team ? `/teams/${this.team}` : '/teams';
    const current = await this.client().send<SettingsValue>({ type, path });
    const teams = this.team
      ? { [this.team]: current.value as TeamSettings }
      : (current.value as Record<string, TeamSettings>);
    const rows = Object.entries(teams).flatMap(([team, settings]) =>
      Object.entries(settings.availabilityZones).map(([zone, value]) => [team, zone, value.state]),
    );
    this.print(teams, renderTable(['TEAM', 'ZONE', 'STATE'], rows));
  }
}
