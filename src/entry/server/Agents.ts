import type http from 'node:http';
import type { Disposable } from '../../common/Disposable.js';
import type { AttemptTarget } from '../Types.js';
import { CountingAgent } from './CountingAgent.js';

/** Idle time after which a connection is closed; shorter than that of most servers. */
const CONNECTION_IDLE_TIMEOUT_MS = 4_000;

const MAX_IDLE_CONNECTIONS = 32;

/** Connection pools, one for each backend server and peer. */
export class Agents implements Disposable {
  private readonly agents = new Map<string, http.Agent>();

  constructor(private readonly onEmpty: (targetId: string) => void) {}

  /** Returns the pool of a target, created on first use. */
  ensure(target: AttemptTarget): http.Agent {
    let agent = this.agents.get(target.id);
    if (!agent) {
      const options = {
        keepAlive: true,
        noDelay: true,
        maxSockets: target.connectionsMax,
        maxFreeSockets: MAX_IDLE_CONNECTIONS,
        timeout: CONNECTION_IDLE_TIMEOUT_MS,
        scheduling: 'lifo' as const,
      };
      agent = new CountingAgent(options, () => this.onEmpty(target.id));
      this.agents.set(target.id, agent);
    }
    return agent;
  }

  /** Closes the idle connections to a target; requests in flight continue. */
  close(targetId: string): void {
    const agent = this.agents.get(targetId);
    if (!agent) return;
    Object.values(agent.freeSockets).forEach((sockets) =>
      sockets?.forEach((socket) => socket.destroy()),
    );
    this.agents.delete(targetId);
  }

  dispose(): void {
    this.agents.forEach((agent) => agent.destroy());
    this.agents.clear();
  }
}
