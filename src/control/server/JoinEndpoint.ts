import { createHmac, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { API_PREFIX } from '../../common/Constants.js';
import { EgretError, ErrorKind, toEgretError } from '../../common/Errors.js';
import { readJson, sendError, sendJson } from '../../runtime/HttpJson.js';
import { requestJson } from '../../runtime/JsonRequest.js';
import type { Member, Membership } from '../raft/Types.js';

/** Path for join requests of control hosts, on the port for the system's own processes. */
export const JOIN_PATH = `${API_PREFIX}/control/join`;

/** Largest port number (RFC 6335). */
const PORT_MAX = 65_535;

/** A control host that doesn't answer within this time is asked again later. */
const JOIN_TIMEOUT_MS = 800;

function sign(secret: string, member: Member): string {
  const { id, address, port, observer } = member;
  const text = JSON.stringify(['join', id, address, port, observer === true]);
  return createHmac('sha256', secret).update(text).digest('base64url');
}

/** Signs a report by itself, so that earlier versions accept the join request that carries it. */
function signReport(secret: string, member: Member, emptiedIds: readonly string[]): string {
  const text = JSON.stringify(['emptied', member.id, member.address, member.port, emptiedIds]);
  return createHmac('sha256', secret).update(text).digest('base64url');
}

function isEqual(expected: string, received: unknown): boolean {
  const [left, right] = [Buffer.from(expected), Buffer.from(String(received))];
  return left.length === right.length && timingSafeEqual(left, right);
}

/** Report of a host that started with an empty disk, and not for the first time. */
interface EmptiedReport {
  /** Member ids that the host had before. */
  readonly emptiedIds: readonly string[];
  readonly mac: string;
}

/** Returns the ids of an authentic report; none without one. */
function readReport(secret: string, { member, report }: JoinRequest): readonly string[] {
  if (!report) return [];
  const { emptiedIds, mac } = report;
  const isList = Array.isArray(emptiedIds) && emptiedIds.every((id) => typeof id === 'string');
  if (!isList) throw new EgretError(ErrorKind.BadRequest, 'The emptied ids are not a list of ids.');
  if (!isEqual(signReport(secret, member, emptiedIds), mac)) {
    throw new EgretError(ErrorKind.Unauthorized, 'Invalid signature of the emptied ids.');
  }
  return emptiedIds;
}

const memberSchema = z.looseObject({
  id: z.string().min(1),
  address: z.string().min(1),
  port: z.number().int().min(1).max(PORT_MAX),
  instanceId: z.string().optional(),
  observer: z.boolean().optional(),
});

/** Membership in an answer, which is not authenticated. */
const membershipSchema: z.ZodType<Membership> = z.looseObject({
  voters: z.array(memberSchema),
  learners: z.array(memberSchema),
});

/** Join request of a control host, authenticated with the shared secret. */
interface JoinRequest {
  readonly member: Member;
  readonly mac: string;
  readonly report?: EmptiedReport;
}

/** Options of {@link answerJoin}. */
export interface AnswerJoinOptions {
  readonly secret: string;
  readonly membership: () => Membership;
  readonly onJoin: (member: Member, emptiedIds: readonly string[]) => void;
}

/** Answers a join request with this host's current membership. */
export function answerJoin(
  request: IncomingMessage,
  response: ServerResponse,
  options: AnswerJoinOptions,
): void {
  readJson(request)
    .then((body) => {
      const { member, mac } = body as JoinRequest;
      const { id, address, port, observer } = member;
      if (!isEqual(sign(options.secret, member), mac)) {
        throw new EgretError(ErrorKind.Unauthorized, 'Invalid join signature.');
      }
      const emptiedIds = readReport(options.secret, body as JoinRequest);
      options.onJoin({ id, address, port, ...(observer === true ? { observer } : {}) }, emptiedIds);
      sendJson(response, 200, options.membership());
    })
    .catch((error: unknown) => sendError(response, toEgretError(error, ErrorKind.BadRequest)));
}

/**
 * Sends a join request to one control host; resolves with the membership that it returns, or
 * undefined without a valid answer.
 *
 * @example
 * const membership = await requestJoin({ address: '10.0.0.4', port: 7540 }, member, secret);
 */
export async function requestJoin(
  target: { readonly address: string; readonly port: number },
  member: Member,
  secret: string,
  emptiedIds: readonly string[] = [],
): Promise<Membership | undefined> {
  const report = { emptiedIds, mac: signReport(secret, member, emptiedIds) };
  const body = {
    member,
    mac: sign(secret, member),
    ...(emptiedIds.length > 0 && { report }),
  };
  const { address: host, port } = target;
  try {
    // Another program may have taken over the address of a seed and send anything.
    const answer = await requestJson({
      host,
      port,
      path: JOIN_PATH,
      method: 'POST',
      body,
      timeoutMs: JOIN_TIMEOUT_MS,
    });
    return membershipSchema.safeParse(answer.body).data;
  } catch {
    return undefined;
  }
}
