import { API_PREFIX } from '../common/Constants.js';
import { EgretError, ErrorKind, type ErrorBody } from '../common/Errors.js';
import type { AdminRequest } from '../control/Types.js';
import { requestJson } from '../runtime/JsonRequest.js';

/** Options of an {@link AdminClient}. */
export interface AdminClientOptions {
  /** Administration addresses of the control hosts, as `address:port`. */
  readonly addresses: readonly string[];
  readonly token: string;
  readonly timeoutMs?: number;
}

/** Largest answer that is read: a routing of a message's size, and the audit trail, as text. */
const ANSWER_BYTES_MAX = 64 * 1024 * 1024;

/** Maximum number of rounds over all addresses before a request fails. */
const MAX_ROUNDS = 10;
const ROUND_PAUSE_MS = 300;
const SUCCESS_STATUS = 200;

/** Splits an address of the form `host:port`. */
function hostAndPort(address: string): { host: string; port: number } {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
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
    try {
      const answer = await requestJson({
        ...hostAndPort(address),
        method: 'POST',
        path: `${API_PREFIX}/admin/${type}`,
        headers: { Authorization: `Bearer ${this.options.token}` },
        body,
        timeoutMs: this.options.timeoutMs,
        bodyBytesMax: ANSWER_BYTES_MAX,
      });
      if (answer.statusCode === SUCCESS_STATUS) return answer.body;
      const errorBody = answer.body as ErrorBody;
      return new EgretError(errorBody.kind, errorBody.message);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return new EgretError(ErrorKind.NoQuorum, `${address} did not answer (${reason}).`);
    }
  }
}
