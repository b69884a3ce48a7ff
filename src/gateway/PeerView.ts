import { BackendView } from './BackendView.js';

/** Pause after a connection to a gateway failed; the list of gateways is updated meanwhile. */
const UNREACHABLE_PAUSE_MS = 500;

/** State of another gateway to which calls are forwarded, as seen by this one. */
export class PeerView extends BackendView {
  /** Failures are those of the backend servers behind the gateway, not its own. */
  override noteFailure(): void {
    this.consecutiveFailures = 0;
  }

  override startBackoff(nowMs: number): void {
    this.backoffUntilMs = nowMs + UNREACHABLE_PAUSE_MS;
  }
}
