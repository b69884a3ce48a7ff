import type { IncomingMessage } from 'node:http';
import { checkForwardMac, createForwardMac } from '../../runtime/LinkAuth.js';

/** Request header that marks a call as forwarded by another gateway; lower case. */
export const FORWARD_HEADER = 'egret-forwarded';

/** Answer header by which a gateway marks its own answers to forwarded calls; lower case. */
export const PEER_ANSWER_HEADER = 'egret-peer-answer';

/** Kinds of a gateway's own answers to forwarded calls. */
export enum PeerAnswer {
  /** Nothing was sent to a backend server: another gateway may take the call. */
  Unsent = 'unsent',
  /** The answer is final. */
  Final = 'final',
}

/** What a gateway tells another one about a call that it forwards. */
export interface ForwardMark {
  /** Id of the gateway that forwards. */
  readonly from: string;
  /** Number of backend servers that may still run the call. */
  readonly attemptsMax: number;
  /** True if the retry budget of the first gateway has counted the call. */
  readonly isCounted: boolean;
  /** Time since the call arrived at the first gateway. */
  readonly elapsedMs: number;
  /**
   * Customer of the call, empty without one; undefined if the forwarding gateway has not checked
   * the key, as in earlier versions.
   */
  readonly customer?: string;
}

/** Separates the customer, which may be empty, from the preceding fields. */
const CUSTOMER_PREFIX = 'customer=';

/** Decodes the customer's field; undefined if it is missing or malformed. */
function decodeCustomer(field: string | undefined): string | undefined {
  if (!field?.startsWith(CUSTOMER_PREFIX)) return undefined;
  try {
    return decodeURIComponent(field.slice(CUSTOMER_PREFIX.length));
  } catch {
    // The key is checked here instead, as for a mark of an earlier version.
    return undefined;
  }
}

/** Creates and checks forward marks, which only hosts with the shared secret can make. */
export class ForwardMarks {
  private readonly mac: string;

  constructor(
    private readonly secret: string,
    private readonly selfId: string,
  ) {
    this.mac = createForwardMac(secret, selfId);
  }

  /** Request headers of a forwarded call, names and values in turn. */
  headers({ attemptsMax, isCounted, elapsedMs, customer }: Omit<ForwardMark, 'from'>): string[] {
    const roundedMs = Math.max(0, Math.round(elapsedMs));
    const mark = [this.selfId, attemptsMax, Number(isCounted), roundedMs, this.mac];
    // Earlier versions ignore fields after the code.
    if (customer !== undefined) mark.push(CUSTOMER_PREFIX + encodeURIComponent(customer));
    return [FORWARD_HEADER, mark.join(' ')];
  }

  /** Reads the mark of a forwarded call; undefined if it is missing, malformed or forged. */
  read({ headers }: IncomingMessage): ForwardMark | undefined {
    const fields = String(headers[FORWARD_HEADER] ?? '').split(' ');
    const [from, attempts, counted, elapsed, mac, customer] = fields;
    if (!from || !mac || !checkForwardMac(this.secret, from, mac)) return undefined;
    const [attemptsMax, elapsedMs] = [Number(attempts), Number(elapsed)];
    if (!Number.isSafeInteger(attemptsMax) || attemptsMax < 1 || !(elapsedMs >= 0))
      return undefined;
    return {
      from,
      attemptsMax,
      isCounted: counted === '1',
      elapsedMs,
      customer: decodeCustomer(customer),
    };
  }
}
