import Result from 'true-myth/result';
import type * as z from 'zod';
import { ZoneState } from './Enums.js';
import { EgretError, ErrorKind } from './Errors.js';
import {
  treeSchema,
  type ServiceSettings,
  type SettingsTree,
  type SystemSettings,
} from './SettingsSchema.js';

/** One fault of a settings document. */
export interface SettingsFault {
  /** Slash-separated path of the value. */
  readonly path: string;
  readonly message: string;
  readonly remedy: string;
}

/** Name of the subtree of system-wide settings; the other subtrees are named after their team. */
export const SYSTEM_SUBTREE = 'system';

const TEAMS_SEGMENT = 'teams';

const MS_PER_SECOND = 1_000;

/** A lease counts from the announcement before the last one, so two intervals must fit into it. */
const MIN_INTERVALS_PER_LEASE = 2.5;

/** Translates a schema issue into a fault with its remedy. */
function toFault(issue: z.core.$ZodIssue): SettingsFault {
  const path = `/${issue.path.map(String).join('/')}`;
  switch (issue.code) {
    case 'unrecognized_keys':
      return {
        path,
        message: `unknown key ${issue.keys.join(', ')}`,
        remedy: 'Remove the key, or correct its spelling and unit suffix.',
      };
    case 'too_small':
      return {
        path,
        message: issue.message,
        remedy: `Use a value of at least ${String(issue.minimum)}.`,
      };
    case 'too_big':
      return {
        path,
        message: issue.message,
        remedy: `Use a value of at most ${String(issue.maximum)}.`,
      };
    case 'invalid_value':
      return {
        path,
        message: issue.message,
        remedy: `Use one of ${issue.values.map(String).join(', ')}.`,
      };
    case 'invalid_key':
      return {
        path,
        message: issue.issues.map((inner) => inner.message).join(', '),
        remedy: 'Correct the name.',
      };
    case 'invalid_type':
      return { path, message: issue.message, remedy: `Use a value of type ${issue.expected}.` };
    default:
      return { path, message: issue.message, remedy: 'Correct the value as the message says.' };
  }
}

/**
 * Checks a document against a schema and lists every fault.
 *
 * @example
 * checkDocument(treeSchema, {}).isOk; // true
 */
export function checkDocument<S extends z.ZodType>(
  schema: S,
  document: unknown,
): Result<z.infer<S>, SettingsFault[]> {
  const parsed = schema.safeParse(document);
  if (parsed.success) return Result.ok(parsed.data);
  return Result.err(parsed.error.issues.map(toFault));
}

/** Lists faults that involve more than one value of the tree. */
function crossFieldFaults(tree: SettingsTree): SettingsFault[] {
  const faults: SettingsFault[] = [];
  const owners = new Map<string, string>();
  Object.entries(tree.teams).forEach(([team, settings]) => {
    Object.entries(settings.services).forEach(([service, serviceSettings]) => {
      if (
        serviceSettings.measuringPerSecond * tree.system.leaseMs <
        MIN_INTERVALS_PER_LEASE * MS_PER_SECOND
      ) {
        faults.push({
          path: `/teams/${team}/services/${service}/measuringPerSecond`,
          message: `fewer than ${MIN_INTERVALS_PER_LEASE} announcements in a lease`,
          remedy: 'Raise the budget, or /system/leaseMs.',
        });
      }
      const path = `/teams/${team}/services/${service}`;
      const owner = owners.get(service);
      if (owner) {
        faults.push({
          path,
          message: `service name already used by team ${owner}`,
          remedy: 'Choose another service name.',
        });
      }
      owners.set(service, team);
      serviceSettings.availabilityZones
        .filter((zone) => !(zone in settings.availabilityZones))
        .forEach((zone) => {
          faults.push({
            path: `${path}/availabilityZones`,
            message: `unknown availability zone ${zone}`,
            remedy: `Create /teams/${team}/availabilityZones/${zone} first.`,
          });
        });
    });
  });
  if (tree.system.announcementIntervalMs * MIN_INTERVALS_PER_LEASE > tree.system.leaseMs) {
    faults.push({
      path: '/system/leaseMs',
      message: `lease shorter than ${MIN_INTERVALS_PER_LEASE} announcement intervals`,
      remedy: `Use a lease of at least ${MIN_INTERVALS_PER_LEASE} times announcementIntervalMs.`,
    });
  }
  if (tree.system.configPingIntervalMs * 2 > tree.system.configLeaseMs) {
    faults.push({
      path: '/system/configLeaseMs',
      message: 'configuration lease shorter than two ping intervals',
      remedy: 'Use a lease of at least twice configPingIntervalMs.',
    });
  }
  return faults;
}

/**
 * Checks a whole settings tree, with defaults filled in.
 *
 * @example
 * checkTree({ teams: {} }).isOk; // true
 */
export function checkTree(document: unknown): Result<SettingsTree, SettingsFault[]> {
  return checkDocument(treeSchema, document).andThen((tree) => {
    const faults = crossFieldFaults(tree);
    return faults.length > 0 ? Result.err(faults) : Result.ok(tree);
  });
}

/** Splits `/a/b` into its segments. */
function segmentsOf(path: string): string[] {
  return path.split('/').filter((segment) => segment.length > 0);
}

/**
 * Returns the name of the subtree of a path; changes are checked against its revision.
 *
 * @example
 * subtreeOf('/teams/otaru/services/ledger').unwrapOr(''); // 'otaru'
 */
export function subtreeOf(path: string): Result<string, EgretError> {
  const segments = segmentsOf(path);
  if (segments[0] === SYSTEM_SUBTREE) return Result.ok(SYSTEM_SUBTREE);
  if (segments[0] === TEAMS_SEGMENT && segments.length >= 2) return Result.ok(segments[1]!);
  return Result.err(
    new EgretError(ErrorKind.InvalidSettings, `Path ${path} is under no /system or /teams/NAME.`),
  );
}

type SettingsNode = Record<string, unknown>;

function isSettingsNode(value: unknown): value is SettingsNode {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Reads the value at a path; undefined if there is none.
 *
 * @example
 * readPath({ system: { leaseMs: 1 } }, '/system/leaseMs'); // 1
 */
export function readPath(tree: unknown, path: string): unknown {
  return segmentsOf(path).reduce<unknown>(
    (value, segment) =>
      isSettingsNode(value) && Object.hasOwn(value, segment) ? value[segment] : undefined,
    tree,
  );
}

/** Copies a node with the value at the path replaced, or removed if null. */
function copyWith(node: SettingsNode, segments: readonly string[], value: unknown): SettingsNode {
  const [head, ...rest] = segments;
  if (head === undefined) return node;
  const copy = { ...node };
  if (rest.length > 0) {
    const child = Object.hasOwn(node, head) ? node[head] : undefined;
    copy[head] = copyWith(isSettingsNode(child) ? child : {}, rest, value);
  } else if (value === null) {
    delete copy[head];
  } else {
    copy[head] = value;
  }
  return copy;
}

/**
 * Returns a checked copy of the tree with one value replaced; null removes it.
 *
 * @example
 * writePath(tree, '/teams/otaru/availabilityZones/yoichi', { state: 'out' }).isOk;
 */
export function writePath(
  tree: SettingsTree,
  path: string,
  value: unknown,
): Result<SettingsTree, EgretError> {
  const segments = segmentsOf(path);
  const unsafe = segments.some((segment) => segment === '__proto__' || segment === 'constructor');
  if (unsafe || segments.length < 2) {
    return Result.err(
      new EgretError(ErrorKind.InvalidSettings, `Path ${path} can't be written as a whole.`),
    );
  }
  return checkTree(copyWith(tree as unknown as SettingsNode, segments, value)).mapErr(
    (faults) =>
      new EgretError(
        ErrorKind.InvalidSettings,
        faults.map((fault) => `${fault.path}: ${fault.message}. ${fault.remedy}`).join(' '),
      ),
  );
}

/** A service with the team that owns it. */
export interface CatalogEntry {
  readonly team: string;
  readonly service: string;
  readonly settings: ServiceSettings;
  /** Availability zones of the service that receive new calls. */
  readonly openZones: readonly string[];
}

/** Read-only index over a settings tree, rebuilt for every revision. */
export interface Catalog {
  readonly system: SystemSettings;
  readonly services: ReadonlyMap<string, CatalogEntry>;
}

/**
 * Indexes a tree by service.
 *
 * @example
 * buildCatalog(tree).services.get('ledger')?.openZones;
 */
export function buildCatalog(tree: SettingsTree): Catalog {
  const services = new Map<string, CatalogEntry>();
  Object.entries(tree.teams).forEach(([team, teamSettings]) => {
    Object.entries(teamSettings.services).forEach(([service, settings]) => {
      const openZones = settings.availabilityZones.filter(
        (zone) => teamSettings.availabilityZones[zone]?.state === ZoneState.In,
      );
      services.set(service, { team, service, settings, openZones });
    });
  });
  return { system: tree.system, services };
}
