// Stand-in of a target (PROTOCOL.md): announces itself, answers status checks, runs requests.
import http from 'node:http';
import { request, sleep } from './deployment.mjs';

/** Requests that wait for a slot at most. */
const QUEUE_MAX = 12;

export class Target {
  constructor({ record, id, service, zone, ip, nodes, slots = 3, workMs = 20, reply, bornMs, heartbeatMs = 1_500 }) {
    Object.assign(this, { record, id, service, zone, ip, nodes, slots, workMs, reply, heartbeatMs });
    this.bornMs = bornMs ?? Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.runs = [];
    this.running = 0;
    this.waiting = [];
    this.next = 0;
    this.beats = true;
    this.server = http.createServer((incoming, response) => this.handle(incoming, response));
    this.server.keepAliveTimeout = 10_000;
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, this.ip, resolve));
    this.address = `${this.ip}:${this.server.address().port}`;
    this.loop();
    return this;
  }

  async loop() {
    while (this.beats) {
      await this.beat();
      await sleep(this.heartbeatMs);
    }
  }

  /** Sends one ping, to the next nodes until one confirms it; resolves with that node. */
  async beat() {
    this.sequence += 1;
    const body = JSON.stringify({
      address: this.address,
      born: this.bornMs,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state: this.state, sequence: this.sequence, cold_left_ms: 0 },
    });
    return this.call('PUT', body, 1);
  }

  /** Reports that it is gone; resolves with the node that confirmed it, or undefined. */
  leave(rounds = 3) {
    return this.call('DELETE', JSON.stringify({ born: this.bornMs }), rounds);
  }

  async call(method, body, rounds) {
    const nodes = this.nodes();
    for (let attempt = 0; attempt < nodes.length * rounds; attempt += 1) {
      const node = nodes[this.next % nodes.length];
      const answer = await request(node, {
        method,
        path: `/egretcourse/instances/${this.id}`,
        headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) },
        body,
      });
      if (answer.status >= 200 && answer.status < 300) return node;
      this.next += 1;
    }
    return undefined;
  }

  handle(incoming, response) {
    response.setHeader('X-Server-Load', `${this.running},${this.waiting.length},${this.slots},100`);
    if (incoming.url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, { 'X-Instance-Id': this.id, 'Content-Length': 0 });
      response.end();
      return;
    }
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', () => this.run(incoming, response, Buffer.concat(chunks)));
  }

  run(incoming, response, body) {
    const attempt = incoming.headers['x-attempt-id'];
    if (attempt) response.setHeader('X-Attempt-Id', attempt);
    if (incoming.headers['x-expect-instance'] && incoming.headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { 'X-Instance-Id': this.id, 'Content-Length': 0 });
      response.end();
      return;
    }
    if (this.running >= this.slots) {
      if (this.waiting.length >= QUEUE_MAX) {
        response.writeHead(503, { 'X-Not-Executed': '1', 'Content-Length': 0 });
        response.end();
        return;
      }
      const waiting = { incoming, response, body };
      this.waiting.push(waiting);
      response.once('close', () => {
        this.waiting = this.waiting.filter((item) => item !== waiting);
      });
      return;
    }
    this.begin(incoming, response, body);
  }

  begin(incoming, response, body) {
    const attempt = incoming.headers['x-attempt-id'];
    const run = { attempt, atMs: performance.now(), method: incoming.method, url: incoming.url, body, headers: incoming.headers };
    this.runs.push(run);
    this.record.line('run', this.id, this.service, attempt, incoming.method, incoming.url, `bytes=${body.length}`);
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
      const next = this.waiting.shift();
      if (next) this.begin(next.incoming, next.response, next.body);
    });
    if (this.reply) {
      this.reply(incoming, response, run);
      return;
    }
    setTimeout(() => {
      const text = `answer to ${attempt} by ${this.id}`;
      response.writeHead(200, { 'X-Response-Signature': `mac-${attempt}`, 'Content-Length': Buffer.byteLength(text) });
      response.end(text);
    }, this.workMs);
  }

  async stop() {
    this.beats = false;
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }
}
