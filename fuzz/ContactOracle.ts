import type { ControlHost } from './ControlHost.js';
import type { LinkedGateway } from './LinkedGateway.js';
import type { Network } from './Network.js';

/** Options of a {@link ContactOracle}. */
export interface ContactOracleOptions {
  readonly network: Network;
  readonly nowMs: () => number;
  /** The core: all control hosts. */
  readonly hosts: readonly ControlHost[];
}

/** Time without a disturbance after which a gateway is in touch. */
export const CONTACT_MS = 3_000;

/**
 * Tells which gateways are in touch: for {@link CONTACT_MS}, their processes ran undisturbed, the core
 * was stable, and they had a path in both directions to every control host that runs and reaches
 * more than half of the core.
 */
export class ContactOracle {
  private coreEventAtMs = 0;

  private readonly gatewayEventAtMs = new Map<string, number>();

  /** Times since which the conditions hold that last. */
  private readonly heldSinceMs = new Map<string, number>();

  constructor(private readonly options: ContactOracleOptions) {}

  /** Notes a disturbance of the core, or its end. */
  noteCore(): void {
    this.coreEventAtMs = this.options.nowMs();
  }

  /** Notes a disturbance of a gateway, or its end. */
  noteGateway({ id }: LinkedGateway): void {
    this.gatewayEventAtMs.set(id, this.options.nowMs());
  }

  /** Brings the state up to date; called at short intervals. */
  update(gateway: LinkedGateway): void {
    if (!this.holds(gateway)) this.heldSinceMs.delete(gateway.id);
    else if (!this.heldSinceMs.has(gateway.id)) {
      this.heldSinceMs.set(gateway.id, this.options.nowMs());
    }
  }

  isInTouch({ id }: LinkedGateway): boolean {
    const sinceMs = Math.max(
      this.heldSinceMs.get(id) ?? Number.POSITIVE_INFINITY,
      this.gatewayEventAtMs.get(id) ?? 0,
      this.coreEventAtMs,
    );
    return this.options.nowMs() - sinceMs >= CONTACT_MS;
  }

  private holds(gateway: LinkedGateway): boolean {
    if (!gateway.runs) return false;
    const inMajority = this.majority();
    return (
      inMajority.length * 2 > this.options.hosts.length &&
      inMajority.every((host) => this.isJoined(gateway.id, host.options.id))
    );
  }

  /** Running control hosts that reach more than half of the core. */
  private majority(): ControlHost[] {
    const { hosts } = this.options;
    const running = hosts.filter((host) => host.alive && !host.paused);
    const reachedBy = (host: ControlHost) =>
      running.filter((other) => this.isJoined(host.options.id, other.options.id));
    return running.filter((host) => reachedBy(host).length * 2 > hosts.length);
  }

  private isJoined(a: string, b: string): boolean {
    const { network } = this.options;
    return a === b || (network.reaches(a, b) && network.reaches(b, a));
  }
}
