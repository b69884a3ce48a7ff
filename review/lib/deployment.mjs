// Starts the programs of the deploy file as processes of a small deployment on loopback addresses.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const startedAt = performance.now();

/** Processes that run. */
const started = new Set();

/** Writes one line to the record of a case, with the seconds since its start. */
export class Record {
  constructor(file) {
    this.stream = createWriteStream(file);
  }

  line(...parts) {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(3).padStart(8);
    this.stream.write(`${seconds} ${parts.join(' ')}\n`);
  }

  end() {
    return new Promise((resolve) => this.stream.end(resolve));
  }
}

const PORTS = { front: 8548, ready: 8542, control: 8544, directory: 8546, internal: [7540, 7555] };
export const ZONES = ['otaru-port', 'yoichi', 'shakotan'];

/** Bounds of the site otaru-buoycheck. */
export const BOUNDS = {
  contactMs: 3_000,
  ackMs: 4_000,
  catchUpMs: 4_000,
  drainMs: 2_000,
  graceMs: 6_000,
  configApplyMs: 2_000,
  recoveryMs: 15_000,
};

/** Machines with a `control` and a `gateway` process each, or a gateway only. */
export class Deployment {
  constructor({ record, machines = 3, coreMachines = 3, seeds = 3, lostAtOnce = 1 }) {
    this.record = record;
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
    // A network of its own within 127.0.0.0/8, so that the fixed ports are free.
    const net = 1 + Math.floor(Math.random() * 250);
    const sub = Math.floor(Math.random() * 250);
    this.machines = Array.from({ length: machines }, (_, index) => ({
      name: `edge-${index + 1}`,
      ip: `127.${net}.${sub}.${index + 11}`,
      zone: ZONES[index % ZONES.length],
      isCore: index < coreMachines,
      roles: index < coreMachines ? ['control', 'gateway'] : ['gateway'],
      processes: {},
      generation: 0,
    }));
    this.controls = this.machines.filter(({ isCore }) => isCore).map(({ ip }) => `${ip}:${PORTS.control}`);
    this.seeds = this.controls.slice(0, seeds);
    this.all = new Set();
    this.lostAtOnce = lostAtOnce;
  }

  get core() {
    return this.machines.filter(({ isCore }) => isCore);
  }

  /** Settings as the template deploy/host.jsonc renders them. */
  settings(machine, role, bootstrap) {
    const at = (port) => `${machine.ip}:${port}`;
    return {
      program: role,
      id: machine.name,
      address: machine.ip,
      availabilityZone: machine.zone,
      availabilityZones: ZONES,
      firstStart: bootstrap,
      ...(machine.isCore && { dataFolder: this.dataFolder(machine, role) }),
      hostPorts: PORTS.internal,
      seeds: this.seeds,
      ...(role === 'gateway' && {
        callers: at(PORTS.front),
        readiness: at(PORTS.ready),
        directory: at(PORTS.directory),
      }),
      ...(role === 'control' && { operators: at(PORTS.control) }),
      hostsLostAtOnce: this.lostAtOnce,
      stopSeconds: 6,
      directoryValidSecondsMax: 5,
      retryBudget: { ratio: 0.2, windowSeconds: 10, slack: 68 },
      metricsPorts: { gateway: 9464, control: 9465 },
      pickPolicy: 'just-in-time',
      probesPerServerPerSecond: 60,
      logLevel: 'info',
      linkSecret: 'egretcourse-deployment-link',
    };
  }

  dataFolder(machine, role) {
    return path.join(this.folder, `${machine.name}-${role}`);
  }

  start(machine, role, { bootstrap = false } = {}) {
    const file = path.join(this.folder, `${machine.name}-${role}.jsonc`);
    writeFileSync(file, JSON.stringify(this.settings(machine, role, bootstrap), null, 2));
    if (machine.isCore) mkdirSync(this.dataFolder(machine, role), { recursive: true });
    const child = spawn('node', [...(process.env.REVIEW_NODE_FLAGS?.split(' ') ?? []), `target/${role}.mjs`], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/', EGRETCOURSE_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(path.join(this.folder, `${machine.name}-${role}.log`), { flags: 'a' });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    machine.processes[role] = child;
    this.all.add(child);
    started.add(child);
    const pid = child.pid;
    this.record.line('process', machine.name, role, 'started', `pid=${pid}`);
    child.on('exit', (code, signal) => {
      this.all.delete(child);
      started.delete(child);
      this.record.line('process', machine.name, role, 'ended', `pid=${pid} code=${code} signal=${signal}`);
      child.emit('gone');
    });
    return child;
  }

  startAll() {
    this.machines.forEach((machine) =>
      machine.roles.forEach((role) => this.start(machine, role, { bootstrap: true })),
    );
  }

  /** Kills a process; resolves once it is gone. */
  kill(machine, role, signal = 'SIGKILL') {
    const child = machine.processes[role];
    if (!child || child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
    const gone = new Promise((resolve) => child.once('gone', resolve));
    this.record.line('signal', machine.name, role, signal);
    child.kill(signal);
    return gone;
  }

  /** Removes the data of a machine whose processes are gone. */
  wipe(machine) {
    this.record.line('disk', machine.name, 'lost');
    machine.roles.forEach((role) =>
      rmSync(this.dataFolder(machine, role), { recursive: true, force: true }),
    );
  }

  async stop() {
    const children = [...this.all];
    await Promise.all(
      children.map((child) => {
        const gone = new Promise((resolve) => child.once('gone', resolve));
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        return gone;
      }),
    );
    if (process.env.KEEP) process.stdout.write(`kept ${this.folder}\n`);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Sends one HTTP request on a connection of its own; resolves with status 0 without an answer. */
export function request(address, { method = 'GET', path: target, headers = {}, body, timeoutMs = 1_000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = http.request({ host, port, method, path: target, headers, agent: false });
    const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    outgoing.on('error', (error) => finish({ status: 0, headers: {}, body: '', error: error.code ?? error.message }));
    outgoing.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => finish({ status: 0, headers: {}, body: '', error: 'answer cut' }));
      response.on('end', () =>
        finish({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() }),
      );
    });
    outgoing.end(body);
  });
}

/** Operator as in PROTOCOL.md: picks a node, follows two redirects, moves on after a failure. */
export class Operator {
  constructor({ record, nodes }) {
    this.record = record;
    this.nodes = nodes;
    this.next = 0;
  }

  async send(order, { forMs, name, timeoutMs = 1_000 }) {
    const text = order.body === undefined ? undefined : JSON.stringify(order.body);
    const headers = {
      ...(order.ifMatch !== undefined && { 'If-Match': order.ifMatch }),
      ...(text !== undefined && { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }),
    };
    const endsAt = performance.now() + forMs;
    let waitMs = 50;
    for (;;) {
      let address = this.nodes()[this.next % this.nodes().length];
      let target = order.path;
      let answer;
      for (let hop = 0; hop <= 2; hop += 1) {
        answer = await request(address, { method: order.method, path: target, headers, body: text, timeoutMs });
        if (answer.status !== 307) break;
        const url = new URL(answer.headers.location);
        address = url.host;
        target = url.pathname;
      }
      const isClear = answer.status >= 200 && answer.status < 500 && ![307, 408, 429].includes(answer.status);
      if (isClear) {
        this.record.line('operator', name, `answer=${answer.status}`, `from=${address}`);
        return answer;
      }
      this.record.line('operator', name, `no clear answer: ${answer.status} ${answer.error ?? ''}`, `from=${address}`);
      this.next += 1;
      if (performance.now() >= endsAt) return answer;
      await sleep(waitMs);
      waitMs = Math.min(500, waitMs * 2);
    }
  }

  putConfig(config, base, forMs = 10_000) {
    const order = { method: 'PUT', path: '/egretcourse/config', ifMatch: base, body: config };
    return this.send(order, { forMs, name: `PUT config ${config.version} on ${base}`, timeoutMs: 3_000 });
  }

  readConfig(forMs) {
    return this.send({ method: 'GET', path: '/egretcourse/config' }, { forMs, name: 'GET config', timeoutMs: 2_000 });
  }
}

export function createRule(name, { host = 'a', kind = 'safe', service, prefix, timeoutMs = 1_500, attempts = 2 }) {
  return {
    name,
    kind,
    slo_latency_ms: 300,
    priority: 1,
    match: { path_prefix: prefix },
    action: { service, timeout_ms: timeoutMs, max_attempts: attempts },
  };
}

export function createConfig(version, listeners, services) {
  return {
    version,
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    listeners,
    clusters: services.map((name) => ({
      name,
      health_path: '/health',
      max_conns: 280,
      protocol: 'h1',
      tls: false,
      cold_start_s: 3,
      cold_per_s: 9.4,
    })),
  };
}

/** Waits until a condition holds; false after the time limit. */
export async function until(condition, limitMs, pauseMs = 50) {
  const endsAt = performance.now() + limitMs;
  while (performance.now() < endsAt) {
    if (await condition()) return true;
    await sleep(pauseMs);
  }
  return false;
}

/** Runs a case: exits with 1 if it returns a broken rule, 0 if the rule held, 2 if it could not run. */
export async function runCase(folder, body) {
  const record = new Record(path.join(folder, 'record.txt'));
  const trouble = process.env.TROUBLE !== '0';
  record.line('case', path.basename(folder), trouble ? 'with the disruption' : 'without the disruption');
  const open = [];
  let code = 2;
  process.stdout.on('error', () => {});
  // No process of a deployment outlives the case, however it ends.
  process.on('exit', () => started.forEach((child) => child.kill('SIGKILL')));
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => process.on(signal, () => process.exit(2)));
  const endAll = async () => {
    for (const item of open.reverse()) await item.stop();
  };
  const limit = setTimeout(async () => {
    record.line('result: the case took too long');
    await endAll();
    process.exit(2);
  }, 116_000);
  try {
    const broken = await body({ record, trouble, own: (item) => (open.push(item), item) });
    code = broken ? 1 : 0;
    record.line('result:', broken ? `broken: ${broken}` : 'the rule held');
    process.stdout.write(`${broken ? `broken: ${broken}` : 'the rule held'}\n`);
  } catch (error) {
    record.line('result: could not run:', error.stack ?? error);
    process.stdout.write(`could not run: ${error.message}\n`);
  }
  clearTimeout(limit);
  await endAll();
  await record.end();
  process.exit(code);
}
