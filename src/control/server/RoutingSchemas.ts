import * as z from 'zod';
import { RouteKind } from '../../common/routing/Types.js';

const name = z.string().min(1).max(253);

const route = z.strictObject({
  name,
  host: name,
  pathPrefix: z.string().min(1).max(1024),
  kind: z.enum(RouteKind),
  destinations: z.array(z.strictObject({ service: name, weight: z.number() })).min(1),
  timeoutMs: z.number(),
  attemptsMax: z.number().int().min(1).max(16),
  objectiveMs: z.number(),
  priority: z.number().int().min(0),
  isOpen: z.boolean().optional(),
  source: z.json().optional(),
});

const service = z.strictObject({
  name,
  healthPath: z.string().min(1).max(1024),
  connectionsMax: z.number().int().min(1),
  coldMs: z.number().min(0),
  coldPerSecond: z.number().min(0),
  source: z.json().optional(),
});

const limits = z.strictObject({
  headerBytesMax: z.number().int().min(1),
  bodyBytesMax: z.number().int().min(0),
  headerTimeoutMs: z.number().int().min(1),
  idleTimeoutMs: z.number().int().min(1),
  source: z.json().optional(),
});

const customer = z.strictObject({
  name,
  keys: z.array(z.string().min(1)),
  priority: z.number().optional(),
  ratePerSecond: z.number().min(0).optional(),
  burst: z.number().min(0).optional(),
  source: z.json().optional(),
});

/** A complete routing table, or a patch that upserts and removes items by name. */
export const routingEditSchema = z.union([
  z.strictObject({
    table: z.strictObject({
      routes: z.array(route),
      services: z.array(service),
      limits,
      customers: z.array(customer).optional(),
    }),
  }),
  z.strictObject({
    patch: z.strictObject({
      upsertRoutes: z.array(route).default([]),
      upsertServices: z.array(service).default([]),
      removeRoutes: z.array(name).default([]),
      removeServices: z.array(name).default([]),
      limits: limits.optional(),
      upsertCustomers: z.array(customer).optional(),
      removeCustomers: z.array(name).optional(),
    }),
  }),
]);
