import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { API_PREFIX } from '../../common/Constants.js';
import { EgretError, ErrorKind, toEgretError } from '../../common/Errors.js';
import { isHostName } from '../../common/HostName.js';
import { checkDocument } from '../../common/SettingsTree.js';
import { bearerToken, readJson, sendError, sendJson } from '../../runtime/HttpJson.js';
import { hashToken } from '../../runtime/LinkAuth.js';
import { routingEditSchema } from './RoutingSchemas.js';
import { AdminRequestType, type AdminRequest } from '../Types.js';

const id = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use lower-case letters, digits, hyphens');
const changeId = z.string().min(1).max(128);

/** Body schema of each request; the request type is the last part of the endpoint's path. */
const REQUEST_SCHEMAS: Record<AdminRequestType, z.ZodType> = {
  [AdminRequestType.GetSettings]: z.strictObject({ path: z.string().max(1024) }),
  [AdminRequestType.Change]: z.strictObject({
    changeId,
    baseRevision: z.number().int().min(0),
    path: z.string().min(2).max(1024),
    value: z.json(),
  }),
  [AdminRequestType.ShowChange]: z.strictObject({ changeId }),
  [AdminRequestType.Audit]: z.strictObject({
    limit: z.number().int().min(1).max(1000).default(50),
    team: id.optional(),
  }),
  [AdminRequestType.Services]: z.strictObject({}),
  [AdminRequestType.EntryHosts]: z.strictObject({}),
  [AdminRequestType.Members]: z.strictObject({}),
  [AdminRequestType.AddMember]: z.strictObject({
    id,
    address: z.string().max(253).refine(isHostName, 'use a host name or an address'),
    port: z.number().int().min(1).max(65_535),
  }),
  [AdminRequestType.PromoteMember]: z.strictObject({ id }),
  [AdminRequestType.RemoveMember]: z.strictObject({ id }),
  [AdminRequestType.GetRouting]: z.strictObject({}),
  [AdminRequestType.ChangeRouting]: z.strictObject({
    changeId,
    baseVersion: z.number().int().min(0),
    version: z.number().int().min(1),
    edit: routingEditSchema,
  }),
  [AdminRequestType.CloseZone]: z.strictObject({
    zone: z.string().min(1).max(63),
    closed: z.boolean(),
  }),
  [AdminRequestType.StartRollout]: z.strictObject({
    service: z.string().min(1).max(253),
    toVersion: z.string().min(1).max(253),
    durationMs: z.number().int().min(1),
  }),
  [AdminRequestType.ShowRollout]: z.strictObject({ service: z.string().min(1).max(253) }),
  [AdminRequestType.AbortRollout]: z.strictObject({ service: z.string().min(1).max(253) }),
};

/** Result of one administration request. */
export interface AdminResult {
  readonly body: unknown;
  readonly error: EgretError | null;
}

/** Passes a request to the reducer and resolves with its answer. */
export type AdminSubmit = (request: AdminRequest, tokenHash: string) => Promise<AdminResult>;

/** Endpoint of the administration API: `POST /egret/v1/admin/<request>`. */
export class AdminApi {
  constructor(private readonly submit: AdminSubmit) {}

  /** Handles one HTTP request. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    this.answer(request).then(
      (result) => {
        if (result.error) sendError(response, result.error);
        else sendJson(response, 200, result.body);
      },
      (error: unknown) => sendError(response, toEgretError(error, ErrorKind.BadRequest)),
    );
  }

  private async answer(request: IncomingMessage): Promise<AdminResult> {
    const prefix = `${API_PREFIX}/admin/`;
    const url = (request.url ?? '').split('?')[0]!;
    const type = url.slice(prefix.length) as AdminRequestType;
    const schema = REQUEST_SCHEMAS[type];
    if (!url.startsWith(prefix) || !schema) {
      throw new EgretError(ErrorKind.NotFound, `There is no endpoint at ${url}.`);
    }
    if (request.method !== 'POST') {
      throw new EgretError(ErrorKind.BadRequest, `Use POST, not ${request.method}.`);
    }
    const checked = checkDocument(schema, await readJson(request));
    if (checked.isErr) {
      const faults = checked.error.map((fault) => `${fault.path}: ${fault.message}.`);
      throw new EgretError(ErrorKind.BadRequest, faults.join(' '));
    }
    const parsed = { type, ...(checked.value as object) } as AdminRequest;
    return this.submit(parsed, hashToken(bearerToken(request)));
  }
}
