import { ErrorKind } from '../common/Errors.js';
import { checkRouting, patchRouting } from '../common/routing/RoutingCheck.js';
import type { RoutingTable, RoutingView } from '../common/routing/Types.js';
import {
  RoutingEdit,
  type RoutingChangeCommand,
  type ZoneClosureCommand,
} from './RoutingCommands.js';
import { applyOrder, applyVerdict, type RolloutOrderResult } from './rollouts/RolloutBook.js';
import type { RolloutOrderCommand, RolloutVerdictCommand } from './rollouts/RolloutCommands.js';

/** Verdict on a change of the routing table. */
export enum RoutingVerdict {
  Accepted = 'accepted',
  Conflict = 'conflict',
  Invalid = 'invalid',
}

/** Result of a change of the routing table. */
export interface RoutingResult {
  readonly verdict: RoutingVerdict;
  /** Version in force after the change; for a repeated change, the version that it produced. */
  readonly version: number;
  /** True if the same change had been accepted before. */
  readonly repeated: boolean;
  readonly detail: string;
}

/** Serialized form of a {@link RoutingState}. */
export interface RoutingSnapshot {
  readonly view: RoutingView;
  readonly accepted: [string, number][];
}

/** Number of accepted change ids kept to recognize resends; a day has hundreds of changes. */
const MAX_ACCEPTED_CHANGES = 10_000;

const EMPTY_VIEW: RoutingView = { index: 0, version: 0, table: null, closedZones: [] };

/** Replicated routing: table, operator-chosen version, closed availability zones. */
export class RoutingState {
  view: RoutingView = EMPTY_VIEW;

  /** Version that each accepted change produced, by change id. */
  private accepted = new Map<string, number>();

  /** Applies a change if it builds on the version in force. */
  change(index: number, command: RoutingChangeCommand): RoutingResult {
    const { view } = this;
    const { version } = view;
    const repeated = this.repeatedResult(command.changeId);
    if (repeated) return repeated;
    const refuse = (verdict: RoutingVerdict, detail: string): RoutingResult => ({
      verdict,
      version,
      repeated: false,
      detail,
    });
    if (command.baseVersion !== version) {
      const detail = `${ErrorKind.Conflict}: base ${command.baseVersion}, in force ${version}`;
      return refuse(RoutingVerdict.Conflict, detail);
    }
    if (command.version <= version) {
      return refuse(RoutingVerdict.Invalid, `version ${command.version} is not above ${version}`);
    }
    const table = this.applyEdit(command.edit);
    if (!table) return refuse(RoutingVerdict.Invalid, 'there is no table to change yet');
    const checked = checkRouting(table);
    if (checked.isErr) return refuse(RoutingVerdict.Invalid, checked.error.detail);
    this.view = { ...view, index, version: command.version, table };
    this.storeAccepted(command.changeId, command.version);
    return {
      verdict: RoutingVerdict.Accepted,
      version: command.version,
      repeated: false,
      detail: '',
    };
  }

  /** Result of a change that was accepted before; undefined for any other. */
  repeatedResult(changeId: string): RoutingResult | undefined {
    const version = this.accepted.get(changeId);
    if (version === undefined) return undefined;
    return { verdict: RoutingVerdict.Accepted, version, repeated: true, detail: '' };
  }

  /** Closes or opens an availability zone; returns false if it already is. */
  closeZone(index: number, command: ZoneClosureCommand): boolean {
    const others = this.view.closedZones.filter((zone) => zone !== command.zone);
    const closedZones = command.closed ? [...others, command.zone].sort() : others;
    const changed = closedZones.length !== this.view.closedZones.length;
    if (changed) this.view = { ...this.view, index, closedZones };
    return changed;
  }

  /** Applies the order of a rollout. */
  orderRollout(index: number, command: RolloutOrderCommand): RolloutOrderResult {
    const result = applyOrder(this.view, index, command);
    this.view = result.view;
    return result;
  }

  /** Applies a new share or the verdict on a rollout; returns false if it changes nothing. */
  changeRollout(index: number, command: RolloutVerdictCommand): boolean {
    const before = this.view;
    this.view = applyVerdict(before, index, command);
    return this.view !== before;
  }

  toSnapshot(): RoutingSnapshot {
    return { view: this.view, accepted: [...this.accepted] };
  }

  restore(snapshot: RoutingSnapshot | undefined): void {
    this.view = snapshot?.view ?? EMPTY_VIEW;
    this.accepted = new Map(snapshot?.accepted ?? []);
  }

  private applyEdit(edit: RoutingEdit): RoutingTable | null {
    if ('table' in edit) return edit.table;
    return this.view.table && patchRouting(this.view.table, edit.patch);
  }

  private storeAccepted(changeId: string, version: number): void {
    this.accepted.set(changeId, version);
    if (this.accepted.size <= MAX_ACCEPTED_CHANGES) return;
    const [oldest] = this.accepted.keys();
    if (oldest !== undefined) this.accepted.delete(oldest);
  }
}
