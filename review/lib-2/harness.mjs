// Small deployment of the project's own programs on loopback addresses, with stand-ins of the
// operator, the targets and the clients. Used by the scripts in review/6 to review/10.
import { spawn } from 'node:child_process';
import { mkdtempSync, mkdirSync, rmSync, writeFileSync, createWriteStream } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export { sleep };

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
export const TROUBLE = process.env.TROUBLE !== '0';

/** Exit codes of a case. */
export const Exit = { Held: 0, Broken: 1, NotRun: 2 };

const PORTS = { callers: 8548, readiness: 8542, control: 8544, directory: 8546, hosts: [7540, 7555] };
const ZONES = ['otaru-port', 'yoichi', 'shakotan'];
/** A provider starts a process that has ended again after a short delay. */
const RESTART_MS = 500;

const startedAtMs = performance.now();
export const nowMs = () => Math.round(performance.now() - startedAtMs);

/** Writes what was sent, answered and run to record.txt in the folder of the case. */
export function openRecord(caseFolder) {
  const out = createWriteStream(path.join(caseFolder, 'record.txt'));
  const record = (event, fields = {}) => {
    const text = Object.entries(fields)
      .map(([key, value]) => `${key}=${JSON.stringify(value)}`)
      .join(' ');
    out.write(`${String(nowMs()).padStart(6)} ${event} ${text}\n`);
  };
  record.close = () => new Promise((resolve) => out.end(resolve));
  return record;
}

/** Settings of a process, with the fields and values of deploy/host.jsonc for a small site. */
function settingsOf(machine, role, { network, isFirst, bounds, seeds, folder }) {
  const { address } = machine;
  return {
    program: role,
    id: machine.name,
    address,
    availabilityZone: machine.zone,
    availabilityZones: ZONES,
    firstStart: isFirst,
    ...(role === 'control' && { dataFolder: path.join(folder, machine.name, 'data') }),
    hostPorts: PORTS.hosts,
    seeds,
    ...(role === 'gateway' && {
      callers: `${address}:${PORTS.callers}`,
      readiness: `${address}:${PORTS.readiness}`,
      directory: `${address}:${PORTS.directory}`,
    }),
    ...(role === 'control' && { operators: `${address}:${PORTS.control}` }),
    hostsLostAtOnce: 1,
    stopSeconds: 6,
    directoryValidSecondsMax: 5,
    retryBudget: { ratio: 0.2, windowSeconds: 10, slack: 68 },
    metricsPorts: { gateway: 9464, control: 9465 },
    pickPolicy: 'just-in-time',
    probesPerServerPerSecond: 60,
    logLevel: 'info',
    linkSecret: 'egretcourse-deployment-link',
    ...bounds,
    ...network,
  };
}

/** Machines with a control host and a gateway each, as processes. */
export class Deployment {
  constructor({ record, machines = 3, settings = {} }) {
    this.record = record;
    this.settings = settings;
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'egret-review-'));
    const net3 = `127.${100 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}`;
    this.net3 = net3;
    this.machines = Array.from({ length: machines }, (unused, index) => ({
      name: `edge-${index + 1}`,
      address: `${net3}.${index + 11}`,
      zone: ZONES[index % ZONES.length],
      roles: index < 3 ? ['control', 'gateway'] : ['gateway'],
      processes: new Map(),
      /** Disturbances by the case that are in progress: the ends of its processes are not its own. */
      disturbed: 0,
    }));
    this.seeds = this.machines.slice(0, 3).map(({ address }) => `${address}:${PORTS.control}`);
    /** Processes that ended by themselves. */
    this.ownEnds = [];
    this.stopping = false;
    process.once('exit', () => this.killAll());
    ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => process.once(signal, () => process.exit(2)));
  }

  get controls() {
    return this.machines.filter(({ roles }) => roles.includes('control'));
  }

  start(machine, role, isFirst = false) {
    const folder = path.join(this.folder, machine.name);
    mkdirSync(path.join(folder, 'data'), { recursive: true });
    const file = path.join(folder, `${role}.jsonc`);
    const settings = settingsOf(machine, role, {
      isFirst,
      seeds: this.seeds,
      folder: this.folder,
      bounds: this.settings,
    });
    writeFileSync(file, JSON.stringify(settings, null, 2));
    const child = spawn('node', [`target/${role}.mjs`], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, EGRETCOURSE_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(path.join(folder, `${role}.log`), { flags: 'a' });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    let tail = '';
    child.stdout.on('data', (chunk) => {
      tail = (tail + chunk).slice(-20_000);
    });
    machine.processes.set(role, child);
    child.once('exit', (code, signal) => {
      if (this.stopping) return;
      const failure = tail
        .split('\n')
        .findLast((line) => line.includes('process_failed'))
        ?.replaceAll(ROOT, '.');
      this.record('process_ended', { machine: machine.name, role, code, signal, failure });
      if (machine.processes.get(role) !== child) return;
      if (machine.disturbed === 0) this.ownEnds.push({ machine: machine.name, role, atMs: nowMs() });
      if (machine.off) return;
      setTimeout(() => {
        if (!this.stopping && !machine.off) this.start(machine, role);
      }, RESTART_MS);
    });
    return child;
  }

  async startAll() {
    this.machines.forEach((machine) =>
      machine.roles.forEach((role) => this.start(machine, role, true)),
    );
    const untilMs = nowMs() + 20_000;
    for (;;) {
      const answers = await Promise.all(
        this.controls.map(({ address }) =>
          call({ address: `${address}:${PORTS.control}`, path: '/egretcourse/config' }),
        ),
      );
      if (answers.every(({ status }) => status > 0)) return;
      if (nowMs() > untilMs) throw new Error('the control hosts do not listen');
      await sleep(100);
    }
  }

  /** Waits until the readiness check of every gateway answers 200. */
  async waitUntilReady(machines = this.machines, patienceMs = 20_000) {
    const untilMs = nowMs() + patienceMs;
    for (;;) {
      const answers = await Promise.all(
        machines.map(({ address }) =>
          call({ address: `${address}:${PORTS.readiness}`, path: '/egretcourse/readiness' }),
        ),
      );
      if (answers.every(({ status }) => status === 200)) return;
      if (nowMs() > untilMs) throw new Error('the gateways are not ready');
      await sleep(100);
    }
  }

  callersOf(machine) {
    return { host: machine.address, port: PORTS.callers };
  }

  controlOf(machine) {
    return `${machine.address}:${PORTS.control}`;
  }

  killAll() {
    this.stopping = true;
    this.machines.forEach(({ processes }) =>
      processes.forEach((child) => {
        if (child.exitCode !== null || child.signalCode !== null) return;
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }),
    );
  }

  async stop() {
    this.killAll();
    await sleep(200);
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true });
    else console.log(this.folder);
  }
}

/** One HTTP call with a JSON body; status 0 without an answer. Follows two redirects. */
export function call(
  { address, path: target, method = 'GET', body, headers = {}, timeoutMs = 1_000 },
  hops = 0,
) {
  const [host, port] = address.split(':');
  const bytes = body === undefined ? undefined : Buffer.from(body);
  return new Promise((resolve) => {
    const request = http.request(
      {
        host,
        port: Number(port),
        path: target,
        method,
        agent: false,
        headers: {
          ...headers,
          ...(bytes && { 'Content-Type': 'application/json', 'Content-Length': bytes.length }),
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => resolve({ status: 0, body: '' }));
        response.on('end', () => {
          const { statusCode: status } = response;
          if (status === 307 && hops < 2) {
            const url = new URL(response.headers.location);
            resolve(
              call(
                { address: url.host, path: url.pathname, method, body, headers, timeoutMs },
                hops + 1,
              ),
            );
            return;
          }
          resolve({ status, body: Buffer.concat(chunks).toString(), headers: response.headers });
        });
      },
    );
    request.setTimeout(timeoutMs, () => request.destroy());
    request.on('error', () => resolve({ status: 0, body: '' }));
    request.end(bytes);
  });
}

/** Operator: sends an order to the control hosts in turn until it gets a clear answer. */
export async function order(deployment, request, patienceMs = 15_000) {
  const untilMs = nowMs() + patienceMs;
  for (let attempt = 0; ; attempt += 1) {
    const { controls } = deployment;
    const machine = controls[attempt % controls.length];
    const answer = await call({
      timeoutMs: 4_000,
      ...request,
      address: deployment.controlOf(machine),
    });
    deployment.record('order', {
      method: request.method ?? 'GET',
      path: request.path,
      to: machine.name,
      status: answer.status,
    });
    const isClear = answer.status >= 200 && answer.status < 500 && answer.status !== 408;
    if (isClear && answer.status !== 429) return answer;
    if (nowMs() > untilMs) throw new Error(`no clear answer to ${request.method} ${request.path}`);
    await sleep(200);
  }
}

export const HOST = 'jepu9.example';

/** Config with one route to each service. */
export function createConfig(version, routes, limits = {}) {
  const services = [...new Set(routes.map(({ service }) => service))];
  return JSON.stringify({
    version,
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 67108864,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
      ...limits,
    },
    listeners: [
      {
        host: HOST,
        rules: routes.map(({ name, kind, prefix, service, timeoutMs, attempts = 2, sloMs = 300 }) => ({
          name,
          kind,
          slo_latency_ms: sloMs,
          priority: 1,
          match: { path_prefix: prefix },
          action: { service, timeout_ms: timeoutMs, max_attempts: attempts },
        })),
      },
    ],
    clusters: services.map((name) => ({
      name,
      health_path: '/health',
      max_conns: 280,
      protocol: 'h1',
      tls: false,
      cold_start_s: 3,
      cold_per_s: 9.4,
    })),
  });
}

export async function putConfig(deployment, body, ifMatch) {
  return order(deployment, {
    method: 'PUT',
    path: '/egretcourse/config',
    body,
    headers: { 'If-Match': ifMatch },
  });
}

let nextTarget = 1;

/**
 * Target as PROTOCOL.md describes it: announces itself, answers its health path, runs requests in its
 * slots. `run` decides about the answer; by default it is a short one after `workMs`.
 */
export class Target {
  constructor({ deployment, service, zone = 'otaru-port', slots = 3, workMs = 100, run }) {
    this.id = `i-${String(nextTarget).padStart(8, '0')}`;
    this.address = `${deployment.net3}.${100 + nextTarget}`;
    nextTarget += 1;
    Object.assign(this, { deployment, service, zone, slots, workMs });
    this.run = run ?? ((request) => this.answer(request, `answer to ${request.id}`));
    this.running = 0;
    this.sequence = 0;
    this.born = Date.now();
    /** Requests that began to run, by attempt id. */
    this.runs = [];
    this.server = net.createServer((socket) => this.serve(socket));
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, this.address, resolve);
    });
    this.port = this.server.address().port;
    await this.announce();
    this.timer = setInterval(() => this.announce(), 1_500);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.sockets?.forEach((socket) => socket.destroy());
  }

  async announce(state = this.state ?? 'ready') {
    this.sequence += 1;
    const body = JSON.stringify({
      address: `${this.address}:${this.port}`,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state, sequence: this.sequence, cold_left_ms: 0 },
      born: this.born,
    });
    const controls = [...this.deployment.controls].sort(() => Math.random() - 0.5);
    for (const machine of controls) {
      const answer = await call({
        address: this.deployment.controlOf(machine),
        path: `/egretcourse/instances/${this.id}`,
        method: 'PUT',
        body,
      });
      if (answer.status >= 200 && answer.status < 300) return true;
    }
    return false;
  }

  get loadHeader() {
    return `X-Server-Load: ${Math.min(this.running, this.slots)},${Math.max(0, this.running - this.slots)},${this.slots}\r\n`;
  }

  serve(socket) {
    this.sockets ??= new Set();
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.once('close', () => this.sockets.delete(socket));
    let buffer = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      buffer = Buffer.concat([buffer, chunk]);
      for (;;) {
        const end = buffer.indexOf('\r\n\r\n');
        if (end < 0) return;
        const head = buffer.subarray(0, end).toString('latin1');
        const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
        if (buffer.length < end + 4 + length) return;
        const body = buffer.subarray(end + 4, end + 4 + length);
        buffer = buffer.subarray(end + 4 + length);
        this.take(socket, head, body);
      }
    });
  }

  take(socket, head, body) {
    const [line] = head.split('\r\n');
    const [method, target] = line.split(' ');
    const header = (name) => new RegExp(`\r\n${name}: *([^\r]*)`, 'i').exec(head)?.[1];
    if (target === '/health') {
      socket.write(
        `HTTP/1.1 200 OK\r\nX-Instance-Id: ${this.id}\r\n${this.loadHeader}Content-Length: 0\r\n\r\n`,
      );
      return;
    }
    const id = header('X-Attempt-Id');
    const refuse = (status) =>
      socket.write(
        `HTTP/1.1 ${status} Refused\r\n${id ? `X-Attempt-Id: ${id}\r\n` : ''}X-Not-Executed: 1\r\n${this.loadHeader}Content-Length: 0\r\n\r\n`,
      );
    if (header('X-Expect-Instance') && header('X-Expect-Instance') !== this.id) {
      refuse(421);
      return;
    }
    if (!id) {
      refuse(400);
      return;
    }
    if (this.running >= this.slots + 12) {
      refuse(503);
      return;
    }
    this.running += 1;
    const request = { socket, id, method, target, body, head, header, startedAtMs: nowMs() };
    this.runs.push(id);
    this.deployment.record('run', { target: this.id, id, method, path: target });
    this.run(request);
  }

  done() {
    this.running -= 1;
  }

  /** Head of a success with the signature of this target. */
  head(request, { length, status = '200 OK', extra = '' }) {
    return (
      `HTTP/1.1 ${status}\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Signature: sig.${request.id}\r\n` +
      `${this.loadHeader}${extra}Content-Type: text/plain\r\n` +
      `${length === undefined ? '' : `Content-Length: ${length}\r\n`}\r\n`
    );
  }

  async answer(request, text) {
    await sleep(this.workMs);
    const body = Buffer.from(text);
    this.done();
    request.socket.write(Buffer.concat([Buffer.from(this.head(request, { length: body.length })), body]));
  }
}

/**
 * Client connection: sends requests, also before earlier ones are answered, and collects what comes
 * back, answers in order.
 */
export class ClientConnection {
  constructor({ host, port }, { allowHalfOpen = false } = {}) {
    this.socket = net.connect({ host, port, allowHalfOpen });
    this.socket.setNoDelay(true);
    this.waiting = [];
    this.answered = 0;
    this.buffer = Buffer.alloc(0);
    this.isClosed = false;
    this.stray = [];
    this.socket.on('error', (error) => {
      this.error = error.code;
    });
    this.socket.on('data', (chunk) => {
      this.buffer = Buffer.concat([this.buffer, chunk]);
      this.parse();
    });
    this.socket.on('end', () => {
      this.ended = true;
    });
    this.socket.once('close', () => {
      this.isClosed = true;
      // An answer without a length ends with its connection.
      const [first] = this.waiting;
      if (first?.partial?.unframed) {
        this.waiting.shift();
        first.resolve({ ...first.partial, body: this.buffer, isComplete: !this.error });
      }
      this.waiting.forEach(({ resolve, partial }) =>
        resolve({ status: 0, closed: true, partialStatus: partial?.status, error: this.error }),
      );
      this.waiting = [];
    });
  }

  connected() {
    return new Promise((resolve, reject) => {
      this.socket.once('connect', resolve);
      this.socket.once('error', reject);
    });
  }

  /** Sends a request; resolves with its answer, or status 0 if the connection closed before. */
  send({ method = 'GET', path: target, id, deadlineMs, body, headers = '' }) {
    const bytes = body === undefined ? Buffer.alloc(0) : Buffer.from(body);
    const head =
      `${method} ${target} HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${id}\r\n` +
      `X-Deadline-Ms: ${deadlineMs}\r\n${headers}` +
      `${body === undefined ? '' : `Content-Length: ${bytes.length}\r\n`}\r\n`;
    if (this.isClosed) return Promise.resolve({ status: 0, closed: true, unsent: true });
    this.socket.write(Buffer.concat([Buffer.from(head, 'latin1'), bytes]));
    return new Promise((resolve) => {
      this.waiting.push({ resolve, id, method });
      this.parse();
    });
  }

  parse() {
    // The rest of an answer without a length, up to the end of the connection.
    if (this.waiting[0]?.partial?.unframed) return;
    for (;;) {
      const end = this.buffer.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = this.buffer.subarray(0, end).toString('latin1');
      const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? -1);
      if (status >= 100 && status < 200) {
        this.buffer = this.buffer.subarray(end + 4);
        continue;
      }
      const [first] = this.waiting;
      if (!first) {
        this.stray.push(head);
        return;
      }
      const header = (name) => new RegExp(`\r\n${name}: *([^\r]*)`, 'i').exec(head)?.[1];
      const answer = {
        status,
        head,
        attemptId: header('X-Attempt-Id'),
        signature: header('X-Response-Signature'),
        retryAfter: header('Retry-After'),
        closes: /\r\nconnection: *close/i.test(head),
      };
      const length = header('Content-Length');
      const isChunked = /\r\ntransfer-encoding: *chunked/i.test(head);
      let rest = this.buffer.subarray(end + 4);
      const noBody = first.method === 'HEAD' || status === 204 || status === 304;
      let body = Buffer.alloc(0);
      if (isChunked && !noBody) {
        const parts = [];
        for (;;) {
          const lineEnd = rest.indexOf('\r\n');
          if (lineEnd < 0) return;
          const size = parseInt(rest.subarray(0, lineEnd).toString('latin1'), 16);
          if (rest.length < lineEnd + 2 + size + 2) return;
          parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
          rest = rest.subarray(lineEnd + 2 + size + 2);
          if (size === 0) break;
        }
        body = Buffer.concat(parts);
      } else if (length !== undefined && !noBody) {
        first.partial = { status };
        if (rest.length < Number(length)) return;
        body = rest.subarray(0, Number(length));
        rest = rest.subarray(Number(length));
      } else if (!noBody) {
        first.partial = { ...answer, unframed: true };
        this.buffer = rest;
        return;
      }
      this.buffer = rest;
      this.waiting.shift();
      this.answered += 1;
      first.resolve({ ...answer, body, isComplete: true });
    }
  }

  close() {
    this.socket.destroy();
  }
}

let nextAttempt = 1;
const runTag = `${process.pid.toString(16)}${Date.now().toString(16)}`;
export function attemptId() {
  nextAttempt += 1;
  return `${runTag}${nextAttempt.toString(16).padStart(6, '0')}`;
}

/** Runs a case; always ends what it started. */
export async function runCase(caseUrl, body, { limitMs = 110_000 } = {}) {
  const folder = path.dirname(fileURLToPath(caseUrl));
  const record = openRecord(folder);
  let deployment;
  const targets = [];
  let code = Exit.NotRun;
  const timer = setTimeout(() => {
    record('not_run', { detail: 'time is up' });
    deployment?.killAll();
    process.exit(Exit.NotRun);
  }, limitMs);
  try {
    record('case', { trouble: TROUBLE, processor: os.arch(), node: process.version });
    code = await body({
      record,
      deploy: async (options) => {
        deployment = new Deployment({ record, ...options });
        await deployment.startAll();
        return deployment;
      },
      addTarget: async (options) => {
        const target = new Target({ deployment, ...options });
        targets.push(target);
        await target.start();
        return target;
      },
    });
  } catch (error) {
    record('not_run', { detail: String(error?.stack ?? error) });
    console.error(error);
  }
  clearTimeout(timer);
  targets.forEach((target) => target.stop());
  await deployment?.stop();
  record('exit', { code });
  await record.close();
  process.exit(code);
}
