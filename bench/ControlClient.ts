import { ControlMessageType, type ControlToEntryMessage } from '../src/common/Messages.js';
import { CONTROL_FIELDS } from '../src/control/server/MessageFields.js';
import { LinkRole } from '../src/runtime/LinkAuth.js';
import { silentLogger } from '../src/runtime/Logger.js';
import { MessageClient } from '../src/runtime/MessageClient.js';
import { BENCH_SECRET } from './workers/ControlRole.js';

const CLIENT_ID = 'bench-client';
const HOST = '127.0.0.1';

/** Session with one control host, opened as an entry host opens it. */
export class ControlClient {
  private readonly client: MessageClient;

  private readonly pendingRequests = new Map<string, (message: ControlToEntryMessage) => void>();

  private resolveReady!: () => void;

  /** Resolves once the session is open. */
  readonly ready = new Promise<void>((resolve) => {
    this.resolveReady = resolve;
  });

  leaderId: string | null = null;

  constructor(port: number) {
    this.client = new MessageClient({
      port,
      address: HOST,
      id: CLIENT_ID,
      role: LinkRole.Entry,
      secret: BENCH_SECRET,
      logger: silentLogger,
      fields: CONTROL_FIELDS,
      onOpen: () => {
        this.client.send({
          type: ControlMessageType.Hello,
          entryHost: {
            id: CLIENT_ID,
            address: HOST,
            port: 1,
            peerPort: 1,
            adminAddress: HOST,
            adminPort: 1,
            availabilityZone: 'bench',
            stopping: true,
          },
        });
        this.resolveReady();
      },
      onMessage: (message) => this.onMessage(message as ControlToEntryMessage),
      onClose: () => {},
    });
  }

  close(): void {
    this.client.dispose();
  }

  /** Sends a ping and waits for its answer. */
  ping(pingId: number): Promise<ControlToEntryMessage> {
    return this.request(String(pingId), {
      type: ControlMessageType.Ping,
      pingId,
      appliedIndex: 0,
      subscribe: false,
      stopping: true,
    });
  }

  /** Claims a key and waits for the verdict. */
  claim(requestId: string, key: string): Promise<ControlToEntryMessage> {
    return this.request(requestId, {
      type: ControlMessageType.Claim,
      requestId,
      key,
      service: 'echo',
      fingerprint: 'bench',
      attemptId: requestId,
      holdMs: 10_000,
    });
  }

  private request(id: string, message: object): Promise<ControlToEntryMessage> {
    return new Promise((resolve) => {
      this.pendingRequests.set(id, resolve);
      this.client.send(message);
    });
  }

  private onMessage(message: ControlToEntryMessage): void {
    if (message.type === ControlMessageType.Pong) {
      this.leaderId = message.leaderId;
      this.resolveRequest(String(message.pingId), message);
    } else if (message.type === ControlMessageType.ClaimReply) {
      this.resolveRequest(message.requestId, message);
    }
  }

  private resolveRequest(id: string, message: ControlToEntryMessage): void {
    this.pendingRequests.get(id)?.(message);
    this.pendingRequests.delete(id);
  }
}
