import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { PROTOCOL_VERSION } from '../common/Constants.js';

/** Kind of process at the other end of a link. */
export enum LinkRole {
  Entry = 'entry',
  Control = 'control',
}

/** First message of a server on a new link. */
export interface Challenge {
  readonly nonce: string;
}

/** Answer of the client: proves that it has the secret. */
export interface ChallengeResponse {
  readonly id: string;
  readonly role: LinkRole;
  readonly nonce: string;
  readonly mac: string;
  /** Availability zone of the client, for the metrics; earlier versions omit it. */
  readonly availabilityZone?: string;
}

/** Last message of the handshake: proves that the server has the secret. */
export interface Welcome {
  readonly mac: string;
  /** Credential for calls that the client forwards to this server. */
  readonly ticket: string;
  /** Protocol version of the server; version 1 omits it. */
  readonly protocol?: number;
  /** Availability zone of the server, for the metrics; earlier versions omit it. */
  readonly availabilityZone?: string;
}

const NONCE_BYTES = 16;

function areStrings(...values: readonly unknown[]): boolean {
  return values.every((value) => typeof value === 'string');
}

/**
 * Reads the first message of a server; undefined if it is malformed. It is not authenticated, and
 * its fields may be of any type that the codec knows.
 *
 * @example
 * readChallenge({ nonce: 5 }); // undefined
 */
export function readChallenge(message: Readonly<Record<string, unknown>>): Challenge | undefined {
  return areStrings(message.nonce) ? (message as unknown as Challenge) : undefined;
}

/** Reads the answer to a challenge; undefined if it is malformed. It is not authenticated. */
export function readResponse(
  message: Readonly<Record<string, unknown>>,
): ChallengeResponse | undefined {
  const { id, role, nonce, mac } = message;
  return areStrings(id, role, nonce, mac) ? (message as unknown as ChallengeResponse) : undefined;
}

/** Creates a random nonce. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString('base64url');
}

function sign(secret: string, parts: readonly string[]): string {
  return createHmac('sha256', secret).update(JSON.stringify(parts)).digest('base64url');
}

function isEqual(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}

/**
 * Creates the answer to a challenge.
 *
 * @example
 * respondToChallenge('secret', 'entry-1', LinkRole.Entry, { nonce: createNonce() }).mac;
 */
export function respondToChallenge(
  secret: string,
  id: string,
  role: LinkRole,
  challenge: Challenge,
): ChallengeResponse {
  const nonce = createNonce();
  return { id, role, nonce, mac: sign(secret, ['client', challenge.nonce, nonce, id, role]) };
}

/** Checks the answer to a challenge. */
export function checkResponse(
  secret: string,
  challenge: Challenge,
  response: ChallengeResponse,
): boolean {
  const { id, role, nonce } = response;
  return isEqual(response.mac, sign(secret, ['client', challenge.nonce, nonce, id, role]));
}

/** Creates the message by which the server completes the handshake. */
export function createWelcome(secret: string, response: ChallengeResponse): Welcome {
  const mac = sign(secret, ['server', response.nonce]);
  return { mac, ticket: createNonce(), protocol: PROTOCOL_VERSION };
}

/** Checks that the server has the secret. */
export function checkWelcome(
  secret: string,
  response: ChallengeResponse,
  welcome: Welcome,
): boolean {
  return isEqual(welcome.mac, sign(secret, ['server', response.nonce]));
}

/** Creates the code by which an entry host proves to another one that it forwards a call. */
export function createForwardMac(secret: string, id: string): string {
  return sign(secret, ['forward', id]);
}

/** Checks the code of an entry host that forwards a call. */
export function checkForwardMac(secret: string, id: string, mac: string): boolean {
  return isEqual(mac, createForwardMac(secret, id));
}

/**
 * Returns the hash under which a token is stored.
 *
 * @example
 * hashToken('letmein').length; // 64
 */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
