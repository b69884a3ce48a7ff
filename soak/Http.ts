import http from 'node:http';

/** Request of the harness to an address. */
export interface HttpRequest {
  readonly address: string;
  readonly path: string;
  readonly method?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
  readonly agent?: http.Agent;
  readonly timeoutMs?: number;
}

/** Answer to a request; status 0 without a complete one. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Why there is no complete answer. */
  readonly error?: string;
  /** True if the connection had carried a request before. */
  readonly kept: boolean;
}

/** Error of a request that the harness gave up itself. */
export const GIVEN_UP = 'given up';

/** Sends a request and resolves with its answer, or with the reason for its lack. */
export function send(request: HttpRequest): Promise<HttpAnswer> {
  const {
    address,
    path,
    method = 'GET',
    headers,
    body,
    agent = false,
    timeoutMs = 1_000,
  } = request;
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const length = body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) };
    const outgoing = http.request({
      host,
      port,
      path,
      method,
      headers: { ...headers, ...length },
      agent,
    });
    const timer = setTimeout(() => outgoing.destroy(new Error(GIVEN_UP)), timeoutMs);
    const finish = (answer: Omit<HttpAnswer, 'kept'>) => {
      clearTimeout(timer);
      resolve({ ...answer, kept: outgoing.reusedSocket });
    };
    const fail = (error: NodeJS.ErrnoException) =>
      finish({ status: 0, headers: {}, body: '', error: error.code ?? error.message });
    outgoing.on('error', fail);
    outgoing.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', fail);
      response.on('end', () =>
        finish({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }),
      );
    });
    outgoing.end(body);
  });
}
