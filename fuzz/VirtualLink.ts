import {
  ControlMessageType,
  type ControlToEntryMessage,
  type EntryToControlMessage,
} from '../src/common/Messages.js';
import { PROTOCOL_VERSION } from '../src/common/Constants.js';
import { ControlEventType } from '../src/control/Types.js';
import type { ControlClient } from '../src/gateway/server/ControlWatchTypes.js';
import { FAST_LINK_TIMING, type MessageClientOptions } from '../src/runtime/MessageClient.js';
import { RetryDelays } from '../src/runtime/RetryDelays.js';
import type { ControlHost } from './ControlHost.js';
import type { HeldPipe } from './HeldPipe.js';
import type { Network } from './Network.js';
import type { PausableProcess } from './PausableProcess.js';

/** Options of a {@link VirtualLink}. */
export interface VirtualLinkOptions {
  readonly network: Network;
  readonly process: PausableProcess;
  readonly host: ControlHost;
  readonly client: MessageClientOptions;
  /** Time that the transfer of a routing takes. */
  readonly routingMs: number;
  /** Opens a session at the control host, which sends to this link. */
  readonly openSession: (link: VirtualLink) => number;
}

const { connectTimeoutMs, heartbeatIntervalMs, receiveTimeoutMs } = FAST_LINK_TIMING;

const POLL_MS = 20;

/** Bytes are not modelled. */
const NOTHING_SENT = { openMs: 0, silentMs: 0, sentBytes: 0, unsentBytes: 0 };

/** Longest wait of a link for its session at a control host without a leader. */
const ADMISSION_MAX_MS = 3_000;

/** Silence after which a handshake counts as broken, and the interval of the check. */
const HANDSHAKE_SILENCE_MS = 3_000;
const HANDSHAKE_CHECK_MS = 1_500;

/** Silence after which a link is pinged. */
const IDLE_MS = heartbeatIntervalMs * 0.75;

/** Link of a gateway to a control host in virtual time, with the timing of `MessageClient`. */
export class VirtualLink implements ControlClient {
  isOpen = false;

  lastReceivedAtMs = 0;

  readonly serverProtocol = PROTOCOL_VERSION;

  private disposed = false;

  /** Incremented by each attempt and each end. */
  private attempt = 0;

  /** Start of the control host that the connection was made to. */
  private hostEpoch = 0;

  private sessionId = 0;

  private up: HeldPipe;

  private down: HeldPipe;

  private readonly retryDelays = new RetryDelays({
    firstMs: 40,
    maxMs: FAST_LINK_TIMING.retryMaxMs,
    quickRetries: FAST_LINK_TIMING.quickRetries,
  });

  constructor(readonly options: VirtualLinkOptions) {
    [this.up, this.down] = this.createPipes();
    this.connect();
  }

  private createPipes(): [HeldPipe, HeldPipe] {
    const { network, client, host } = this.options;
    return [
      network.connect(client.id, host.options.id),
      network.connect(host.options.id, client.id),
    ];
  }

  /** True while bytes pass both ways. */
  private get passes(): boolean {
    const { network, client, host } = this.options;
    const { id } = host.options;
    return network.reaches(client.id, id) && network.reaches(id, client.id);
  }

  /** True if the control host's process answers. */
  private get answers(): boolean {
    const { host } = this.options;
    return this.passes && host.alive && !host.paused;
  }

  private connect(): void {
    this.attempt += 1;
    const startedAtMs = this.options.process.nowMs;
    this.poll(this.attempt, () => {
      const { host, process } = this.options;
      const isRefused = this.passes && !host.alive && !host.powerless;
      if (isRefused || process.nowMs - startedAtMs > connectTimeoutMs) this.end();
      else if (this.answers) this.shakeHands();
      else return false;
      return true;
    });
  }

  /** Waits for the session of a connection that was accepted. */
  private shakeHands(): void {
    const { host, process } = this.options;
    this.attempt += 1;
    this.hostEpoch = host.epoch;
    this.lastReceivedAtMs = process.nowMs;
    const acceptedAtMs = process.nowMs;
    let checkAtMs = acceptedAtMs + HANDSHAKE_CHECK_MS;
    this.poll(this.attempt, () => {
      const isReset = host.epoch !== this.hostEpoch;
      const { nowMs } = process;
      if (this.answers && !isReset) this.lastReceivedAtMs = nowMs;
      if (nowMs >= checkAtMs) {
        checkAtMs += HANDSHAKE_CHECK_MS;
        const isBroken = nowMs - this.lastReceivedAtMs > HANDSHAKE_SILENCE_MS;
        if (isBroken || (isReset && this.passes && !host.powerless)) {
          this.end();
          return true;
        }
      }
      if (!this.answers || isReset) return false;
      const isReady = host.reducer.raft.state.leaderId !== null;
      if (!isReady && nowMs - acceptedAtMs < ADMISSION_MAX_MS) return false;
      this.open();
      return true;
    });
  }

  private poll(attempt: number, step: () => boolean): void {
    this.options.process.after(POLL_MS, () => {
      if (attempt !== this.attempt || this.disposed) return;
      if (!step()) this.poll(attempt, step);
    });
  }

  private open(): void {
    const { process, openSession, client } = this.options;
    this.attempt += 1;
    this.isOpen = true;
    [this.up, this.down] = this.createPipes();
    this.lastReceivedAtMs = process.nowMs;
    this.retryDelays.reset();
    this.sessionId = openSession(this);
    this.beat(this.attempt);
    client.onOpen();
  }

  private beat(attempt: number): void {
    const { process, host } = this.options;
    process.after(heartbeatIntervalMs, () => {
      if (attempt !== this.attempt) return;
      // A part of a message is a sign of life.
      if (this.down.isTransferring && this.passes) this.lastReceivedAtMs = process.nowMs;
      const silentMs = process.nowMs - this.lastReceivedAtMs;
      if (silentMs > receiveTimeoutMs) {
        this.end();
        return;
      }
      if (silentMs > IDLE_MS) {
        this.sendUp(() => host.whenRunning(() => this.sendDown(() => {})));
      }
      this.beat(attempt);
    });
  }

  send(message: object): boolean {
    if (!this.isOpen) return false;
    const { host } = this.options;
    const { sessionId } = this;
    this.sendUp(() =>
      host.handle({
        type: ControlEventType.SessionMessage,
        sessionId,
        message: message as EntryToControlMessage,
      }),
    );
    return true;
  }

  /** Sends to the process that the connection was made to; another one resets the connection. */
  private sendUp(deliver: () => void): void {
    const { host } = this.options;
    const { hostEpoch, attempt } = this;
    this.up.send(() => {
      if (host.epoch === hostEpoch && host.alive) deliver();
      else if (!host.powerless) this.reset(attempt);
    });
  }

  private sendDown(deliver: () => void, transferMs = 0): void {
    const { process } = this.options;
    const { attempt } = this;
    this.down.send(
      () =>
        process.receive(() => {
          if (attempt !== this.attempt) return;
          this.lastReceivedAtMs = process.nowMs;
          deliver();
        }),
      transferMs,
    );
  }

  /** Message of the control host on a session, which may have ended. */
  receive(sessionId: number, message: ControlToEntryMessage): void {
    if (!this.isOpen || sessionId !== this.sessionId) return;
    const { routingMs, client } = this.options;
    const transferMs = message.type === ControlMessageType.Routing ? routingMs : 0;
    this.sendDown(() => client.onMessage(message), transferMs);
  }

  /** The other end, or something in between, resets the connection. */
  reset(attempt = this.attempt): void {
    this.options.process.receive(() => {
      if (attempt === this.attempt && this.isOpen) this.end();
    });
  }

  dispose(): void {
    this.disposed = true;
    this.close();
  }

  /** Ends a connection or an attempt, and tries again later. */
  private end(): void {
    const wasOpen = this.isOpen;
    this.close();
    if (this.disposed) return;
    if (wasOpen) this.options.client.onClose(NOTHING_SENT);
    const { attempt } = this;
    this.options.process.after(this.retryDelays.next(), () => {
      if (attempt === this.attempt && !this.disposed) this.connect();
    });
  }

  private close(): void {
    this.attempt += 1;
    if (!this.isOpen) return;
    this.isOpen = false;
    const { host } = this.options;
    const { hostEpoch, sessionId } = this;
    this.down.clear();
    this.up.send(() => {
      if (host.epoch !== hostEpoch) return;
      host.handle({ type: ControlEventType.SessionClosed, sessionId });
    });
  }
}
