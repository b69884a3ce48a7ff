import { hashToken } from '../src/runtime/LinkAuth.js';
import type { SettingsTree } from '../src/common/SettingsSchema.js';
import { checkTree } from '../src/common/SettingsTree.js';

/** One service of a deployment. */
export interface DeployedService {
  readonly service: string;
  readonly backends: number;
}

/** Current size of one team's deployment. */
export interface Deployment {
  readonly team: string;
  readonly availabilityZones: readonly string[];
  readonly slots: number;
  readonly services: readonly DeployedService[];
}

export const OTARU: Deployment = {
  team: 'otaru',
  availabilityZones: ['otaru-port', 'yoichi', 'shakotan'],
  slots: 3,
  services: [
    { service: 'ledger', backends: 20 },
    { service: 'dispatch', backends: 10 },
    { service: 'chartroom', backends: 6 },
  ],
};

export const SWANBOURNE: Deployment = {
  team: 'swanbourne',
  availabilityZones: ['perth', 'bunbury', 'kalgoorlie'],
  slots: 6,
  services: [
    { service: 'status-desk', backends: 20 },
    { service: 'claims-ledger', backends: 13 },
    { service: 'notice-store', backends: 6 },
  ],
};

/** Token of a service's backend servers. */
export function serviceToken(service: string): string {
  return `token-of-${service}`;
}

/** Token of the administrator for all teams. */
export const ADMIN_TOKEN = 'standin-administrator';

/** Builds a checked settings tree for deployments. */
export function buildTree(
  deployments: readonly Deployment[],
  system: object = {},
  service: object = {},
): SettingsTree {
  const teams = deployments.map((deployment) => [
    deployment.team,
    {
      availabilityZones: Object.fromEntries(
        deployment.availabilityZones.map((zone) => [zone, { state: 'in' }]),
      ),
      services: Object.fromEntries(
        deployment.services.map((item) => [
          item.service,
          {
            announcementTokenHash: hashToken(serviceToken(item.service)),
            availabilityZones: deployment.availabilityZones,
            slotsMax: deployment.slots,
            ...service,
          },
        ]),
      ),
    },
  ]);
  const operators = {
    root: { tokenHash: hashToken(ADMIN_TOKEN), team: '*', role: 'administrator' },
  };
  return checkTree({
    system: { operators, ...system },
    teams: Object.fromEntries(teams),
  }).unwrapOrElse((faults) => {
    throw new Error(faults.map((fault) => `${fault.path}: ${fault.message}`).join(' '));
  });
}
