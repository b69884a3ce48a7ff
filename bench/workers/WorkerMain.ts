import { BackendsRole } from './BackendsRole.js';
import { ControlRole } from './ControlRole.js';
import { EntriesRole } from './EntriesRole.js';
import { LoadRole } from './LoadRole.js';
import { WorkerRole, type WorkerReply, type WorkerRequest } from './Protocol.js';

/** Methods of a role by name. */
type Methods = Readonly<Record<string, (params: never) => unknown>>;

const ROLES: Record<WorkerRole, () => Methods> = {
  [WorkerRole.Control]: () => new ControlRole().methods,
  [WorkerRole.Entries]: () => new EntriesRole().methods,
  [WorkerRole.Backends]: () => new BackendsRole().methods,
  [WorkerRole.Load]: () => new LoadRole().methods,
};

const MICROSECONDS_PER_MS = 1000;

/** Event loop utilization at the last reading. */
let lastUtilization = performance.eventLoopUtilization();

function processFigures() {
  const current = performance.eventLoopUtilization();
  const { utilization } = performance.eventLoopUtilization(current, lastUtilization);
  lastUtilization = current;
  const cpu = process.cpuUsage();
  const memory = process.memoryUsage();
  return {
    cpuMs: (cpu.user + cpu.system) / MICROSECONDS_PER_MS,
    utilization,
    rssBytes: memory.rss,
    heapUsedBytes: memory.heapUsed,
  };
}

const methods: Methods = { ...ROLES[process.argv[2] as WorkerRole](), processFigures };

async function answer(request: WorkerRequest): Promise<WorkerReply> {
  try {
    const result = await methods[request.method]!(request.params as never);
    return { id: request.id, result, error: null };
  } catch (error) {
    return { id: request.id, result: null, error: String(error) };
  }
}

process.on('message', (request: WorkerRequest) => {
  answer(request).then(
    (reply) => process.send!(reply),
    () => process.exit(1),
  );
});
process.on('disconnect', () => process.exit(0));
