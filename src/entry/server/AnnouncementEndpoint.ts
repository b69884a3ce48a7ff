import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { BackendLifecycleState } from '../../common/Enums.js';
import { EgretError, ErrorKind, toEgretError } from '../../common/Errors.js';
import { checkDocument } from '../../common/SettingsTree.js';
import { bearerToken, readJson, sendError } from '../../runtime/HttpJson.js';
import { hashToken } from '../../runtime/LinkAuth.js';
import type { Announcement } from '../Types.js';

const counter = z.number().int().min(0);

const announcementSchema = z.strictObject({
  service: z.string().min(1).max(63),
  address: z.string().min(1).max(253),
  port: z.number().int().min(1).max(65_535),
  availabilityZone: z.string().min(1).max(63),
  incarnation: counter,
  sequence: counter,
  state: z.enum(BackendLifecycleState),
  slots: z.number().int().min(1).max(1024),
  connections: counter.default(0),
  load: z.looseObject({ inFlight: counter }),
  requestsPerSecond: z.number().min(0).nullable().default(null),
  upForMs: z.number().min(0).default(0),
  leaseStamp: z.string().max(512).nullable().default(null),
  previous: z
    .strictObject({ entryHostId: z.string().min(1).max(63), sinceMs: z.number().min(0) })
    .nullable()
    .default(null),
  unreachable: z.array(z.string().max(300)).max(32).default([]),
});

/** Submits a validated announcement to the reducer, whose effect sends the answer. */
export type AnnouncementSubmit = (
  announcement: Announcement,
  tokenHash: string,
  response: ServerResponse,
) => void;

/** HTTP endpoint for the announcements of backend servers. */
export class AnnouncementEndpoint {
  /** Hashes by token. The tokens are few, and the same ones arrive every second. */
  private readonly hashes = new Map<string, string>();

  constructor(private readonly submit: AnnouncementSubmit) {}

  /** Handles one HTTP request. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    if (request.method !== 'POST') {
      const detail = `Use POST, not ${request.method}.`;
      sendError(response, new EgretError(ErrorKind.BadRequest, detail));
      return;
    }
    readJson(request).then(
      (body) => this.onBody(body, request, response),
      (error: unknown) => sendError(response, toEgretError(error, ErrorKind.BadRequest)),
    );
  }

  private onBody(body: unknown, request: IncomingMessage, response: ServerResponse): void {
    const checked = checkDocument(announcementSchema, body);
    if (checked.isErr) {
      const faults = checked.error.map((fault) => `${fault.path}: ${fault.message}.`);
      sendError(response, new EgretError(ErrorKind.InvalidAnnouncement, faults.join(' ')));
      return;
    }
    this.submit(checked.value, this.hashOf(bearerToken(request)), response);
  }

  private hashOf(token: string): string {
    const cached = this.hashes.get(token);
    if (cached) return cached;
    const MAX_CACHED_HASHES = 1_000;
    if (this.hashes.size >= MAX_CACHED_HASHES) this.hashes.clear();
    const hash = hashToken(token);
    this.hashes.set(token, hash);
    return hash;
  }
}
