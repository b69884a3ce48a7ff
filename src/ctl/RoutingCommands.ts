import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Option } from 'clipanion';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { parseJsonc } from '../common/Jsonc.js';
import type { RoutingView } from '../common/routing/Types.js';
import type { RoutingEdit } from '../control/RoutingCommands.js';
import type { RoutingResult } from '../control/RoutingState.js';
import { AdminRequestType } from '../control/Types.js';
import { CtlCommand } from './CtlCommand.js';

/** `egretctl routing show` */
export class RoutingShowCommand extends CtlCommand {
  static override paths = [['routing', 'show']];

  static override usage = CtlCommand.Usage({
    description: 'Shows the routes, services and closed availability zones in force.',
  });

  protected async run(): Promise<void> {
    const view = await this.client().send<RoutingView>({ type: AdminRequestType.GetRouting });
    const routes = view.table?.routes ?? [];
    this.print(view, [
      `version=${view.version} index=${view.index} closedZones=${view.closedZones.join(',')}`,
      ...routes.map((route) => {
        const services = route.destinations.map((part) => `${part.service}:${part.weight}`);
        return (
          `${route.name} ${route.host}${route.pathPrefix} kind=${route.kind} ` +
          `services=${services.join(',')} timeoutMs=${route.timeoutMs} ` +
          `attemptsMax=${route.attemptsMax} objectiveMs=${route.objectiveMs}`
        );
      }),
    ]);
  }
}

/** Content of the file that `egretctl routing apply` reads. */
interface RoutingFile {
  readonly baseVersion: number;
  readonly version: number;
  readonly edit: RoutingEdit;
}

/** `egretctl routing apply FILE` */
export class RoutingApplyCommand extends CtlCommand {
  static override paths = [['routing', 'apply']];

  static override usage = CtlCommand.Usage({
    description: 'Replaces or changes the routing; the same file can be applied again safely.',
    details:
      'The file is JSON with comments: baseVersion, version and edit, which holds a whole table ' +
      'or a patch. Exit codes: 0 accepted, 1 refused, 3 another version is in force, 4 no majority.',
  });

  file = Option.String();

  protected async run(): Promise<void> {
    const text = readFileSync(this.file, 'utf8');
    const parsed = parseJsonc(text);
    if (parsed.isErr) {
      const faults = parsed.error.map((fault) => `${fault.path}: ${fault.message}.`);
      throw new EgretError(ErrorKind.InvalidSettings, faults.join(' '));
    }
    const { baseVersion, version, edit } = parsed.value as RoutingFile;
    const changeId = createHash('sha256').update(text).digest('hex');
    const type = AdminRequestType.ChangeRouting;
    const request = { type, changeId, baseVersion, version, edit } as const;
    const result = await this.client().send<RoutingResult>(request);
    this.print(result, [`accepted version=${result.version} repeated=${result.repeated}`]);
  }
}

/** Closes or opens an availability zone for every service. */
abstract class ZoneClosureCommand extends CtlCommand {
  zone = Option.String();

  protected abstract readonly closed: boolean;

  protected async run(): Promise<void> {
    const { zone, closed } = this;
    const result = await this.client().send<{ zone: string; closed: boolean }>({
      type: AdminRequestType.CloseZone,
      zone,
      closed,
    });
    this.print(result, [`zone=${result.zone} closed=${result.closed}`]);
  }
}

/** `egretctl routing close-zone ZONE` */
export class RoutingCloseZoneCommand extends ZoneClosureCommand {
  static override paths = [['routing', 'close-zone']];

  static override usage = CtlCommand.Usage({
    description: 'Closes an availability zone: its backend servers receive no more calls.',
  });

  protected readonly closed = true;
}

/** `egretctl routing open-zone ZONE` */
export class RoutingOpenZoneCommand extends ZoneClosureCommand {
  static override paths = [['routing', 'open-zone']];

  static override usage = CtlCommand.Usage({
    description: 'Opens a closed availability zone again.',
  });

  protected readonly closed = false;
}
