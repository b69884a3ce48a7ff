/** Documents as the provider sends them, for tests of the adapter. */

/** Rule of a listener. */
export interface ProviderRule {
  name: string;
  kind: string;
  slo_latency_ms: number;
  priority: number;
  match: { path_prefix: string };
  action: {
    service?: string;
    split?: { service: string; weight: number }[];
    timeout_ms: number;
    max_attempts?: number;
  };
}

/** Options of {@link createRule}. */
export interface RuleOptions {
  readonly kind?: string;
  readonly prefix?: string;
  readonly service?: string;
  readonly timeoutMs?: number;
  readonly attemptsMax?: number;
}

/** Creates a rule for one service. */
export function createRule(name: string, options: RuleOptions = {}): ProviderRule {
  const { kind = 'safe', prefix = `/${name}/`, service = 'alpha', timeoutMs = 1_200 } = options;
  return {
    name,
    kind,
    slo_latency_ms: 300,
    priority: 1,
    match: { path_prefix: prefix },
    action: { service, timeout_ms: timeoutMs, max_attempts: options.attemptsMax ?? 2 },
  };
}

/** Creates a cluster. */
export function createCluster(name: string) {
  return {
    name,
    health_path: '/health',
    max_conns: 300,
    protocol: 'h1',
    tls: false,
    cold_start_s: 3,
    cold_per_s: 7.6,
  };
}

/** Creates a config with two hosts and two services. */
export function createConfig(version = 'r7') {
  const read = createRule('read');
  delete read.action.service;
  read.action.split = [
    { service: 'alpha', weight: 90 },
    { service: 'beta', weight: 10 },
  ];
  return {
    version,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    listeners: [
      { host: 'a.example', rules: [read] },
      { host: 'b.example', rules: [createRule('order', { kind: 'unsafe', service: 'beta' })] },
    ],
    clusters: [createCluster('alpha'), createCluster('beta')],
  };
}

/** Creates the body of an announcement. */
export function createAnnouncement(address: string, sequence: number, changes: object = {}) {
  return {
    address,
    born: 1_700_000_000_000,
    info: { service: 'alpha', version: 'v1', zone: 'perth', slots: 3 },
    status: { state: 'ready', sequence, cold_left_ms: 0 },
    ...changes,
  };
}
