import { rankByRendezvous } from '../common/Rendezvous.js';
import {
  ControlMessageType,
  type ControlToEntryMessage,
  type PongMessage,
} from '../common/Messages.js';
import type { SettingsFreshness } from './SettingsFreshness.js';
import type { EntryContext } from './EntryContext.js';
import type { SettingsView } from './SettingsView.js';
import { EntryEffectType } from './Types.js';

/** Sessions with the control hosts: pings, pushed settings, the choice of leader and publisher. */
export class ControlSessions {
  private readonly connected = new Set<string>();

  private pingAtMs = 0;

  constructor(
    private readonly context: EntryContext,
    private readonly settings: SettingsView,
    private readonly freshness: SettingsFreshness,
    private readonly onSettingsChanged: () => void,
  ) {}

  get size(): number {
    return this.connected.size;
  }

  /** Leader of the control hosts, if it is connected. */
  leaderId(): string | null {
    const { leaderId } = this.freshness;
    return leaderId !== null && this.connected.has(leaderId) ? leaderId : null;
  }

  open(controlHostId: string): void {
    const { context } = this;
    this.connected.add(controlHostId);
    context.emit({
      type: EntryEffectType.SendControl,
      controlHostId,
      message: { type: ControlMessageType.Hello, entryHost: context.self },
    });
    this.ping();
  }

  close(controlHostId: string): void {
    this.connected.delete(controlHostId);
  }

  tick(): void {
    if (this.context.nowMs >= this.pingAtMs) this.ping();
  }

  /** Pings every control host; the answers show whether newer settings may exist. */
  ping(): void {
    const { context } = this;
    this.pingAtMs = context.nowMs + this.settings.catalog.system.configPingIntervalMs;
    const pingId = this.freshness.startPing(context.nowMs);
    const publisher = this.publisherId();
    this.connected.forEach((controlHostId) => {
      context.emit({
        type: EntryEffectType.SendControl,
        controlHostId,
        message: {
          type: ControlMessageType.Ping,
          pingId,
          appliedIndex: this.settings.index,
          subscribe: controlHostId === publisher,
          stopping: context.self.stopping,
        },
      });
    });
  }

  onPong(from: string, pong: PongMessage): void {
    const leaseMs = this.settings.catalog.system.configLeaseMs;
    const changed = this.freshness.onPong(from, pong, this.settings.index, leaseMs);
    if (!changed) return;
    this.context.emit({
      type: EntryEffectType.SyncControlHosts,
      controlHosts: this.freshness.voters.map(({ id, address, port }) => ({ id, address, port })),
    });
  }

  /** Applies pushed settings; fetches the whole tree if changes are missing. */
  onSettings(
    from: string,
    message: Extract<
      ControlToEntryMessage,
      { type: ControlMessageType.Settings | ControlMessageType.SettingsDelta }
    >,
  ): void {
    const applied =
      message.type === ControlMessageType.Settings
        ? this.settings.applyFull(message)
        : this.settings.applyDelta(message);
    if (applied) {
      this.onSettingsChanged();
      this.ping();
    } else if (message.index > this.settings.index) {
      this.context.emit({
        type: EntryEffectType.SendControl,
        controlHostId: from,
        message: { type: ControlMessageType.FetchSettings },
      });
    }
  }

  /** Control host that pushes changes; the hash spreads entry hosts over the control hosts. */
  private publisherId(): string | undefined {
    const nodes = [...this.connected].map((id) => ({ id }));
    return rankByRendezvous(this.context.self.id, nodes)[0]?.id;
  }
}
