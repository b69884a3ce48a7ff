import http from 'node:http';
import { API_PREFIX } from '../common/Constants.js';
import { EgretError, ErrorKind, type ErrorBody } from '../common/Errors.js';
import type { AdminRequest } from '../control/Types.js';

/** Options of an {@link AdminClient}. */
export interface AdminClientOptions {
  /** Administration addresses of the control hosts, as `address:port`. */
  readonly addresses: readonly string[];
  readonly token: string;
  readonly timeoutMs?: number;
}

/** Status and parsed JSON body of an HTTP answer. */
interface HttpAnswer {
  readonly statusCode: number;
  readonly body: unknown;
}

const DEFAULT_TIMEOUT_MS = 12_000;
/** Maximum number of rounds over all addresses before a request fails. */
const MAX_ROUNDS = 10;
const ROUND_PAUSE_MS = 300;
const SUCCESS_STATUS = 200;

/** Sends a JSON request to `address` (`host:port`) and parses the JSON answer. */
export function requestJson(
  address: string,
  options: http.RequestOptions,
  body?: unknown,
): Promise<HttpAnswer> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const request = http.request({ host, port, ...options }, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', reject);
      response.on('end', () => {
        try {
          const parsed: unknown = JSON.parse(Buffer.concat(chunks).toString('utf8'));
          resolve({ statusCode: response.statusCode ?? 0, body: parsed });
        } catch (error) {
          reject(error instanceof Error ? error : new Error(String(error)));
        }
      });
    });
    request.on('timeout', () => request.destroy(new Error('timeout')));
    request.on('error', reject);
    request.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Client of the administration API that finds the leader among the control hosts. */
export class AdminClient {
  constructor(private readonly options: AdminClientOptions) {}

  /**
   * Sends a request to the leader. Requests that change state carry a change id, so that one
   * can be sent again safely after a lost answer.
   *
   * @example
   * await client.send({ type: AdminRequestType.Services });
   * @throws EgretError of the kind in the control host's answer; no-quorum if no leader answered
   */
  async send<T>(request: AdminRequest): Promise<T> {
    let lastError: EgretError | undefined;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      for (const address of this.options.addresses) {
        // Tries the hosts in turn; only the leader answers with a result.
        // eslint-disable-next-line no-await-in-loop
        const result = await this.sendTo(address, request);
        if (!(result instanceof EgretError)) return result as T;
        if (result.kind !== ErrorKind.NoQuorum) throw result;
        lastError = result;
      }
      // eslint-disable-next-line no-await-in-loop
      await pause(ROUND_PAUSE_MS);
    }
    throw lastError ?? new EgretError(ErrorKind.NoQuorum, 'No control host is configured.');
  }

  private async sendTo(address: string, request: AdminRequest): Promise<unknown> {
    const { type, ...body } = request;
    const options = {
      method: 'POST',
      path: `${API_PREFIX}/admin/${type}`,
      timeout: this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      headers: {
        Authorization: `Bearer ${this.options.token}`,
        'Content-Type': 'application/json',
      },
    };
    try {
      const answer = await requestJson(address, options, body);
      if (answer.statusCode === SUCCESS_STATUS) return answer.body;
      const errorBody = answer.body as ErrorBody;
      return new EgretError(errorBody.kind, errorBody.message);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return new EgretError(ErrorKind.NoQuorum, `${address} did not answer (${reason}).`);
    }
  }
}
