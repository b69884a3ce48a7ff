import { rendezvousWeight } from '../common/Rendezvous.js';

/** Link to a control host, as far as the choice of watched hosts depends on it. */
export interface WatchLink {
  /** Address and port of the control host. */
  readonly key: string;
  /** Availability zone of the control host; undefined until it is known. */
  readonly availabilityZone: string | undefined;
  /** True if it has answered recently. */
  readonly isResponsive: boolean;
  /** False if it has answered for a while that its routing is not current. */
  readonly isCurrent: boolean;
}

/** Options of {@link chooseWatchTargets}. */
export interface ChooseWatchTargetsOptions {
  readonly selfId: string;
  readonly availabilityZone: string;
  /** Open links to control hosts. */
  readonly links: readonly WatchLink[];
}

/**
 * Control hosts from which one entry host receives lists, routing and backend servers: with two, the
 * loss of one interrupts nothing, and each control host serves only its share of the entry hosts.
 */
export const WATCH_TARGETS = 2;

/** True for a control host from which an entry host learns what is in force. */
export function isUsable({ isResponsive, isCurrent }: WatchLink): boolean {
  return isResponsive && isCurrent;
}

/**
 * Chooses the control hosts to watch: one of the own availability zone if there is one, then others
 * by rendezvous hashing, which spreads the entry hosts evenly. Ones whose routing is current are
 * preferred, then responsive ones: a control host that is cut off from the others still answers.
 *
 * @example
 * chooseWatchTargets({ selfId: 'edge-1', availabilityZone: 'perth', links }); // two keys
 */
export function chooseWatchTargets(options: ChooseWatchTargetsOptions): string[] {
  const { selfId, availabilityZone, links } = options;
  const ranked = links
    .map((link) => ({ link, weight: rendezvousWeight(link.key, selfId) }))
    .sort((a, b) => b.weight - a.weight || (a.link.key < b.link.key ? -1 : 1))
    .map(({ link }) => link);
  const responsive = ranked.filter((link) => link.isResponsive);
  const usable = ranked.filter(isUsable);
  const candidates = [usable, responsive, ranked].find(({ length }) => length > 0) ?? [];
  const local = candidates.find((link) => link.availabilityZone === availabilityZone);
  const others = candidates.filter((link) => link !== local);
  return [...(local ? [local] : []), ...others].slice(0, WATCH_TARGETS).map(({ key }) => key);
}
