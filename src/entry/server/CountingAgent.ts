import type http from 'node:http';
import { GuardedAgent } from '../../runtime/GuardedAgent.js';

/** Connection pool that reports when its last connection is closed. */
export class CountingAgent extends GuardedAgent {
  private open = 0;

  constructor(
    options: http.AgentOptions,
    private readonly onEmpty: () => void,
  ) {
    super(options);
  }

  override createConnection(
    ...args: Parameters<http.Agent['createConnection']>
  ): ReturnType<http.Agent['createConnection']> {
    const socket = super.createConnection(...args);
    this.open += 1;
    socket?.once('close', () => {
      this.open -= 1;
      if (this.open === 0) this.onEmpty();
    });
    return socket;
  }
}
