import * as z from 'zod';
import { PolicyName, Role, WhenStale, ZoneState } from './Enums.js';

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
const SHA256_HEX = /^[0-9a-f]{64}$/;

const name = z.string().regex(NAME, 'use 1 to 63 lower-case letters, digits or hyphens');
const tokenHash = z
  .string()
  .regex(SHA256_HEX, 'use the SHA-256 of the token in hexadecimal ("egretctl hash-token")');

/** Whole number within bounds, with a default. */
function wholeNumber(minimum: number, maximum: number, fallback: number) {
  return z.number().int().min(minimum).max(maximum).default(fallback);
}

/** Ratio within bounds, with a default. */
function ratio(minimum: number, maximum: number, fallback: number) {
  return z.number().min(minimum).max(maximum).default(fallback);
}

/** Settings of one service; every default is documented in docs/OPERATIONS.md. */
export const serviceSchema = z.strictObject({
  announcementTokenHash: tokenHash,
  availabilityZones: z.array(name).min(1),
  policy: z.enum(PolicyName).default(PolicyName.Leaseholder),
  slotsMax: wholeNumber(1, 1024, 3),
  connectionsMax: wholeNumber(1, 10_000, 300),
  leaseholders: wholeNumber(2, 32, 3),
  timeoutMs: wholeNumber(10, 3_600_000, 10_000),
  queueMax: wholeNumber(0, 100_000, 512),
  queueWaitRatio: ratio(0, 10_000, 4),
  queueWaitFloorMs: wholeNumber(0, 3_600_000, 250),
  idempotentMethods: z
    .array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH']))
    .default(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']),
  retryBudgetRatio: ratio(0, 1, 0.1),
  hedgeBudgetRatio: ratio(0, 1, 0.1),
  hedgeQuantile: ratio(0.5, 0.999, 0.9),
  coldRampSuccesses: wholeNumber(1, 1000, 4),
  measuringPerSecond: ratio(0.1, 100, 2),
  maxBodyBytes: wholeNumber(0, 1_073_741_824, 16_777_216),
});

/** Settings of one availability zone. */
export const zoneSchema = z.strictObject({
  state: z.enum(ZoneState).default(ZoneState.In),
});

/** Settings of one team. */
export const teamSchema = z.strictObject({
  services: z.record(name, serviceSchema).default({}),
  availabilityZones: z.record(name, zoneSchema).default({}),
});

/** One operator's credentials. */
export const operatorSchema = z.strictObject({
  tokenHash,
  team: z.union([name, z.literal('*')]),
  role: z.enum(Role),
});

/** Settings of the system as a whole. */
export const systemSchema = z.strictObject({
  leaseMs: wholeNumber(200, 60_000, 3_000),
  announcementIntervalMs: wholeNumber(50, 30_000, 1_000),
  configLeaseMs: wholeNumber(200, 60_000, 2_500),
  configPingIntervalMs: wholeNumber(50, 30_000, 500),
  claimRetentionMs: wholeNumber(1_000, 604_800_000, 86_400_000),
  directoryValidMs: wholeNumber(100, 600_000, 5_000),
  whenStale: z.enum(WhenStale).default(WhenStale.Refuse),
  operators: z.record(name, operatorSchema).default({}),
});

/** The whole settings tree. */
export const treeSchema = z.strictObject({
  system: systemSchema.default(systemSchema.parse({})),
  teams: z.record(name, teamSchema).default({}),
});

export type ServiceSettings = z.infer<typeof serviceSchema>;
export type ZoneSettings = z.infer<typeof zoneSchema>;
export type TeamSettings = z.infer<typeof teamSchema>;
export type OperatorSettings = z.infer<typeof operatorSchema>;
export type SystemSettings = z.infer<typeof systemSchema>;
export type SettingsTree = z.infer<typeof treeSchema>;
