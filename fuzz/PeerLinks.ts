import type { RandomSource } from '../src/common/Random.js';
import { ControlEventType } from '../src/control/Types.js';
import type { ControlCluster } from './ControlCluster.js';
import type { ControlHost } from './ControlHost.js';

/** Link between two control hosts, from the one that opened it. */
interface PeerLink {
  /** Starts of both processes that the link was opened between. */
  epochs: string;
  isOpen: boolean;
  blockedSinceMs: number | undefined;
}

/** Silence after which a link is lost. */
const LOST_AFTER_MS = 1_600;

/** Links between the control hosts of a cluster, which open again after a restart or a long cut. */
export class PeerLinks {
  private readonly links = new Map<string, PeerLink>();

  constructor(
    private readonly cluster: ControlCluster,
    private readonly random: RandomSource,
  ) {}

  /** Ends and opens links; called at short intervals. */
  check(): void {
    const hosts = [...this.cluster.hosts.values()];
    hosts.forEach((host) =>
      hosts.filter((other) => other !== host).forEach((other) => this.checkLink(host, other)),
    );
  }

  private checkLink(host: ControlHost, other: ControlHost): void {
    const { network, timeline } = this.cluster;
    const [a, b] = [host.options.id, other.options.id];
    const key = `${a} ${b}`;
    const link = this.links.get(key) ?? { epochs: '', isOpen: false, blockedSinceMs: undefined };
    this.links.set(key, link);
    const passes = network.reaches(a, b) && network.reaches(b, a);
    const runs = host.alive && other.alive && !host.paused && !other.paused;
    if (passes && runs) link.blockedSinceMs = undefined;
    else link.blockedSinceMs ??= timeline.nowMs;
    const silentMs = timeline.nowMs - (link.blockedSinceMs ?? timeline.nowMs);
    const epochs = `${host.epoch} ${other.epoch}`;
    if (link.epochs !== epochs || silentMs > LOST_AFTER_MS) link.isOpen = false;
    if (link.isOpen) return;
    const pipe = this.cluster.pipe(a, b);
    pipe.clear();
    pipe.isClosed = !passes || !runs;
    if (pipe.isClosed) return;
    Object.assign(link, { isOpen: true, epochs });
    const type = ControlEventType.ControlLinkOpened;
    host.handle({ type, memberId: b, random: this.random.next() });
  }
}
