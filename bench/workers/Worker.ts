import { fork, type ChildProcess } from 'node:child_process';
import { WorkerRole, type ProcessFigures, type WorkerReply } from './Protocol.js';

/** Compiled entry point, also for tests that run from the sources. */
const MAIN = import.meta.url.includes('/dist/')
  ? new URL('./WorkerMain.js', import.meta.url)
  : new URL('../../dist/bench/workers/WorkerMain.js', import.meta.url);

/** Bench process that runs one role. */
export class Worker {
  private readonly child: ChildProcess;

  private readonly pendingCalls = new Map<number, (reply: WorkerReply) => void>();

  private nextId = 1;

  constructor(role: WorkerRole) {
    this.child = fork(MAIN, [role], { serialization: 'advanced' });
    this.child.once('exit', (code) => {
      const error = `worker process exited with code ${code}`;
      this.pendingCalls.forEach((settle, id) => settle({ id, result: null, error }));
      this.pendingCalls.clear();
    });
    this.child.on('message', (reply: WorkerReply) => {
      this.pendingCalls.get(reply.id)?.(reply);
      this.pendingCalls.delete(reply.id);
    });
  }

  /** Calls a method of the role. */
  call<T>(method: string, params: unknown = null): Promise<T> {
    const id = this.nextId;
    this.nextId += 1;
    return new Promise((resolve, reject) => {
      this.pendingCalls.set(id, (reply) => {
        if (reply.error === null) resolve(reply.result as T);
        else reject(new Error(`${method}: ${reply.error}`));
      });
      this.child.send({ id, method, params });
    });
  }

  figures(): Promise<ProcessFigures> {
    return this.call('processFigures');
  }

  /** Kills the process with SIGKILL, as in a crash. */
  kill(): Promise<void> {
    return new Promise((resolve) => {
      this.child.once('exit', () => resolve());
      this.child.kill('SIGKILL');
    });
  }
}
