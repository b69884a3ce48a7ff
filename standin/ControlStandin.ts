import { createServer, type Server } from 'node:http';
import {
  ControlMessageType,
  type ControlToEntryMessage,
  type EntryToControlMessage,
  type PingMessage,
  type PongMessage,
  type WatchMessage,
} from '../src/common/Messages.js';
import type { BackendRecord } from '../src/common/backends/Types.js';
import type { RoutingView } from '../src/common/routing/Types.js';
import { ENTRY_FIELDS } from '../src/control/server/MessageFields.js';
import { createPong } from '../src/gateway/fixtures.js';
import { closeServer, listen } from '../src/runtime/HttpJson.js';
import { silentLogger } from '../src/runtime/Logger.js';
import { MessageServer, type ServerSession } from '../src/runtime/MessageServer.js';

const ADDRESS = '127.0.0.1';

/** What a control host states about itself; without its routing as in earlier versions. */
export type ControlReport = Partial<Omit<PongMessage, 'type' | 'pingId'>>;

/** Control host whose messages a test writes; it answers each heartbeat with its report. */
export class ControlStandin {
  port = 0;

  /** Part of each answer to a heartbeat; null to answer none. */
  report: ControlReport | null = {};

  /** Messages sent on each new watch. */
  onWatch: ((session: ServerSession) => void) | undefined;

  readonly sessions: ServerSession[] = [];

  readonly pings: PingMessage[] = [];

  readonly watches: WatchMessage[] = [];

  /** Number of links that were closed. */
  closed = 0;

  private readonly http: Server = createServer();

  private server: MessageServer | undefined;

  constructor(private readonly secret: string) {}

  async start(): Promise<void> {
    this.server = new MessageServer({
      secret: this.secret,
      logger: silentLogger,
      fields: ENTRY_FIELDS,
      onOpen: (session) => this.sessions.push(session),
      onMessage: (session, message) => this.receive(session, message as EntryToControlMessage),
      onClose: () => {
        this.closed += 1;
      },
    });
    this.server.attach(this.http);
    this.port = await listen(this.http, ADDRESS, this.port);
  }

  async stop(): Promise<void> {
    this.server?.dispose();
    await closeServer(this.http);
  }

  /** Sends a message on the newest link. */
  send(message: ControlToEntryMessage): void {
    this.sessions.at(-1)?.send(message);
  }

  sendRouting(view: RoutingView): void {
    this.send({ type: ControlMessageType.Routing, view });
  }

  sendBackends(records: readonly BackendRecord[]): void {
    this.send({ type: ControlMessageType.Backends, batchId: 0, records, expiredIds: [] });
  }

  private receive(session: ServerSession, message: EntryToControlMessage): void {
    if (message.type === ControlMessageType.Ping) {
      this.pings.push(message);
      this.answer(session, message);
    } else if (message.type === ControlMessageType.Watch) {
      this.watches.push(message);
      if (message.ends !== true) this.onWatch?.(session);
    }
  }

  private answer(session: ServerSession, { pingId }: PingMessage): void {
    if (this.report === null) return;
    session.send(createPong(pingId, this.report));
  }
}
