import { request, type IncomingMessage } from 'node:http';

/** Request of {@link sendDocument}. */
export interface DocumentRequest {
  /** Address on loopback; 127.0.0.1 by default. */
  readonly host?: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly rawBody?: string;
}

/** Answer received by {@link sendDocument}. */
export interface DocumentReply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly text: string;
  /** False if the connection closed before the end of the answer. */
  readonly complete: boolean;
}

/** Sends one request over loopback on a new connection. */
export function sendDocument(options: DocumentRequest): Promise<DocumentReply> {
  const { host = '127.0.0.1', port, method, path, headers = {}, body } = options;
  const text = options.rawBody ?? (body === undefined ? '' : JSON.stringify(body));
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: { ...headers, 'Content-Length': Buffer.byteLength(text) },
    });
    outgoing.on('error', reject);
    outgoing.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => {});
      response.on('close', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          text: Buffer.concat(chunks).toString(),
          complete: response.complete,
        }),
      );
    });
    outgoing.end(text);
  });
}
