/** Group of versions whose answers are compared. */
export enum RolloutArm {
  /** Servers of the new version. */
  Candidate = 'candidate',
  /** Servers of the versions in use so far. */
  Baseline = 'baseline',
}

/** Counts by latency bucket: bucket and count in turn, without empty buckets. */
export type SparseCounts = readonly number[];

/** Counts of one route and arm at one gateway since the gateway learned of the rollout. */
export interface EvidenceRow {
  readonly route: string;
  readonly arm: RolloutArm;
  /** Attempts sent, including those without a result. */
  readonly sent: number;
  /** Answers that are failures. */
  readonly failed: number;
  /** Good answers of servers that were not cold, by latency. */
  readonly answered: SparseCounts;
  /** Good answers of cold servers, whose latency says nothing about the version. */
  readonly coldAnswered: number;
  /** Cancelled attempts at servers that were not cold, by their age at that time. */
  readonly cancelled: SparseCounts;
  /** Attempts in progress at servers that were not cold, by age; the only count that can fall. */
  readonly running: SparseCounts;
  /** Connections lost or deadlines passed during an attempt, by id of the backend server. */
  readonly lost: Readonly<Record<string, number>>;
}

/** Lower end of the first bucket; faster answers are not distinguished. */
const FIRST_BUCKET_MS = 5;

/** Buckets for each doubling of the latency, fine enough to tell a factor of 3 from one of 2. */
const BUCKETS_PER_DOUBLING = 4;

/** Number of buckets; the last one begins at 14 s, above the deadlines of all routes. */
export const BUCKET_COUNT = 46;

/**
 * Returns the bucket of a latency.
 *
 * @example
 * bucketOf(4); // 0
 * bucketOf(10); // 4
 */
export function bucketOf(latencyMs: number): number {
  if (latencyMs <= FIRST_BUCKET_MS) return 0;
  const bucket = Math.floor(Math.log2(latencyMs / FIRST_BUCKET_MS) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

/**
 * Number of buckets between a latency and its multiple.
 *
 * @example
 * bucketsForFactor(2); // 4
 */
export function bucketsForFactor(factor: number): number {
  return Math.round(Math.log2(factor) * BUCKETS_PER_DOUBLING);
}

/** Encodes counts by bucket. */
export function toSparse(counts: readonly number[]): number[] {
  return counts.flatMap((count, bucket) => (count > 0 ? [bucket, count] : []));
}

/** Decodes counts by bucket; pairs outside the range are ignored. */
export function fromSparse(pairs: SparseCounts): number[] {
  const counts = new Array<number>(BUCKET_COUNT).fill(0);
  for (let index = 0; index + 1 < pairs.length; index += 2) {
    const bucket = pairs[index]!;
    if (bucket >= 0 && bucket < BUCKET_COUNT) counts[bucket] = pairs[index + 1]!;
  }
  return counts;
}
