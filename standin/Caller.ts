import http from 'node:http';
import { createHash } from 'node:crypto';
import { API_PREFIX } from '../src/common/Constants.js';
import type { DirectoryAnswer } from '../src/entry/Types.js';
import type { EntryAddress } from './Announcer.js';

/** Options of a {@link Caller}. */
export interface CallerOptions {
  readonly id: string;
  readonly seeds: readonly EntryAddress[];
  readonly availabilityZone?: string;
  /** False to skip the hashing of bodies. */
  readonly hashes?: boolean;
  /** False to query the directory without a service and cache one answer for all services. */
  readonly asksByService?: boolean;
}

/** One request of a caller. */
export interface CallerRequest {
  readonly service: string;
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Entry host to use instead of the directory's. */
  readonly via?: EntryAddress;
}

/** Answer that a caller received. */
export interface CallerAnswer {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly bodyBytes: number;
  readonly sha256: string;
  readonly text: string;
  /** False if the connection closed before the end of the answer. */
  readonly complete: boolean;
  readonly durationMs: number;
}

/** Directory answer with its expiry time. */
interface CachedAnswer {
  readonly answer: DirectoryAnswer;
  readonly validUntilMs: number;
}

const MAX_TEXT_BYTES = 64 * 1024;

/** Minimal caller: caches the answer of the directory and sends calls to its first entry host. */
export class Caller {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 512 });

  private readonly cache = new Map<string, CachedAnswer>();

  private seedIndex = 0;

  constructor(private readonly options: CallerOptions) {}

  /** Returns the cached answer of the directory while it is valid, otherwise queries it. */
  async directory(service: string): Promise<DirectoryAnswer> {
    const key = this.options.asksByService === false ? '' : service;
    const cached = this.cache.get(key);
    if (cached && cached.validUntilMs > performance.now()) return cached.answer;
    const answer = await this.queryDirectory(key);
    this.cache.set(key, { answer, validUntilMs: performance.now() + answer.validForMs });
    return answer;
  }

  /** Sends one request and reads the whole answer. */
  async call(request: CallerRequest): Promise<CallerAnswer> {
    const startedAtMs = performance.now();
    const entry = request.via ?? (await this.directory(request.service)).entries[0];
    if (!entry) throw new Error(`no entry host for ${request.service}`);
    return this.send(entry, request, startedAtMs);
  }

  close(): void {
    this.agent.destroy();
  }

  private async queryDirectory(service: string): Promise<DirectoryAnswer> {
    const query = new URLSearchParams();
    if (service) query.set('service', service);
    if (this.options.availabilityZone) query.set('availabilityZone', this.options.availabilityZone);
    let failure: unknown;
    for (let attempt = 0; attempt < this.options.seeds.length; attempt += 1) {
      const seed = this.options.seeds[this.seedIndex % this.options.seeds.length]!;
      try {
        const path = `${API_PREFIX}/entries?${query.toString()}`;
        // Seeds are tried one at a time until one answers.
        // eslint-disable-next-line no-await-in-loop
        const answer = await this.send(seed, { service: '', path }, performance.now());
        if (answer.statusCode === 200) return JSON.parse(answer.text) as DirectoryAnswer;
        failure = new Error(answer.text);
      } catch (error) {
        failure = error;
      }
      this.seedIndex += 1;
    }
    throw failure;
  }

  private send(
    entry: EntryAddress,
    request: CallerRequest,
    startedAtMs: number,
  ): Promise<CallerAnswer> {
    const { service, path, method = 'GET', body } = request;
    const headers: Record<string, string> = { 'Egret-Caller': this.options.id, ...request.headers };
    if (body !== undefined) headers['Content-Length'] = String(Buffer.byteLength(body));
    return new Promise((resolve, reject) => {
      const sent = http.request({
        host: entry.address,
        port: entry.port,
        method,
        path: service ? `/${service}${path}` : path,
        headers,
        agent: this.agent,
      });
      sent.on('error', reject);
      sent.on('response', (response) => {
        const hash = this.options.hashes === false ? null : createHash('sha256');
        const chunks: Buffer[] = [];
        let bodyBytes = 0;
        response.on('data', (chunk: Buffer) => {
          bodyBytes += chunk.length;
          hash?.update(chunk);
          if (bodyBytes <= MAX_TEXT_BYTES) chunks.push(chunk);
        });
        response.on('error', () => {});
        response.on('close', () => {
          resolve({
            statusCode: response.statusCode ?? 0,
            headers: response.headers,
            bodyBytes,
            sha256: hash?.digest('hex') ?? '',
            text: Buffer.concat(chunks).toString('utf8'),
            complete: response.complete,
            durationMs: performance.now() - startedAtMs,
          });
        });
      });
      sent.end(body);
    });
  }
}
