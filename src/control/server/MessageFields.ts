import { ControlMessageType } from '../../common/Messages.js';
import { FieldType, type MessageFields } from '../../runtime/MessageCheck.js';
import { RaftMessageType } from '../raft/Types.js';

const ENVELOPE = {
  term: FieldType.Number,
  from: FieldType.String,
  fromInstanceId: FieldType.String,
} as const;

/** Required fields of the Raft messages between control hosts. */
export const RAFT_FIELDS: MessageFields = {
  [RaftMessageType.PreVote]: {
    ...ENVELOPE,
    lastIndex: FieldType.Number,
    lastTerm: FieldType.Number,
  },
  [RaftMessageType.PreVoteReply]: { ...ENVELOPE, granted: FieldType.Boolean },
  [RaftMessageType.Vote]: {
    ...ENVELOPE,
    lastIndex: FieldType.Number,
    lastTerm: FieldType.Number,
  },
  [RaftMessageType.VoteReply]: { ...ENVELOPE, granted: FieldType.Boolean },
  [RaftMessageType.Append]: {
    ...ENVELOPE,
    prevIndex: FieldType.Number,
    prevTerm: FieldType.Number,
    entries: FieldType.Object,
    commitIndex: FieldType.Number,
    round: FieldType.Number,
  },
  [RaftMessageType.AppendReply]: {
    ...ENVELOPE,
    success: FieldType.Boolean,
    matchIndex: FieldType.Number,
    round: FieldType.Number,
  },
  [RaftMessageType.SnapshotChunk]: {
    ...ENVELOPE,
    snapshotIndex: FieldType.Number,
    snapshotTerm: FieldType.Number,
    membership: FieldType.Object,
    offsetBytes: FieldType.Number,
    bytes: FieldType.Object,
    last: FieldType.Boolean,
  },
  [RaftMessageType.SnapshotReply]: {
    ...ENVELOPE,
    snapshotIndex: FieldType.Number,
    receivedBytes: FieldType.Number,
    installed: FieldType.Boolean,
  },
};

/** Required fields of the other messages between control hosts. */
export const CONTROL_PEER_FIELDS: MessageFields = {
  [ControlMessageType.BackendRelay]: {
    from: FieldType.String,
    batchId: FieldType.Number,
    records: FieldType.Object,
  },
  [ControlMessageType.BackendRelayAck]: { from: FieldType.String, batchId: FieldType.Number },
  [ControlMessageType.BackendRenewals]: {
    from: FieldType.String,
    ids: FieldType.Object,
    bornMs: FieldType.Object,
    sequences: FieldType.Object,
  },
  [ControlMessageType.EntryHostsShare]: {
    from: FieldType.String,
    entryHosts: FieldType.Object,
    removedIds: FieldType.Object,
    isWhole: FieldType.Boolean,
    version: FieldType.Number,
    baseVersion: FieldType.Number,
    requestsWhole: FieldType.Boolean,
  },
  [ControlMessageType.RolloutEvidenceRelay]: {
    from: FieldType.String,
    evidence: FieldType.Object,
  },
  [ControlMessageType.RoutingProgress]: {
    from: FieldType.String,
    routingIndex: FieldType.Number,
    gatewayCount: FieldType.Number,
    behind: FieldType.Object,
    appliedIndexes: FieldType.Object,
  },
  [ControlMessageType.ReportRelay]: { from: FieldType.String, report: FieldType.Object },
  [ControlMessageType.UsageShare]: {
    from: FieldType.String,
    startedAtMs: FieldType.Number,
    usage: FieldType.Object,
    levels: FieldType.Object,
  },
};

/** Required fields of a crash report, which control hosts forward unchanged. */
const CRASH_REPORT_FIELDS = {
  fingerprint: FieldType.String,
  backendId: FieldType.String,
  bornMs: FieldType.Number,
} as const;

/** Required fields of a limit report, which control hosts forward unchanged. */
const LIMIT_REPORT_FIELDS = {
  backendId: FieldType.String,
  bornMs: FieldType.Number,
  perSecond: FieldType.Any,
} as const;

/** Required fields of the messages from entry hosts. */
export const ENTRY_FIELDS: MessageFields = {
  [ControlMessageType.Hello]: { entryHost: FieldType.Object },
  [ControlMessageType.Ping]: {
    pingId: FieldType.Number,
    appliedIndex: FieldType.Number,
    subscribe: FieldType.Boolean,
    stopping: FieldType.Boolean,
  },
  [ControlMessageType.FetchSettings]: {},
  [ControlMessageType.Claim]: {
    requestId: FieldType.String,
    key: FieldType.String,
    service: FieldType.String,
    fingerprint: FieldType.String,
    attemptId: FieldType.String,
    holdMs: FieldType.Number,
  },
  [ControlMessageType.Settle]: {
    requestId: FieldType.String,
    key: FieldType.String,
    service: FieldType.String,
    attemptId: FieldType.String,
    outcome: FieldType.String,
    answer: FieldType.Any,
  },
  [ControlMessageType.Watch]: { routingIndex: FieldType.Number },
  [ControlMessageType.BackendsAck]: { batchId: FieldType.Number },
  [ControlMessageType.CrashReport]: CRASH_REPORT_FIELDS,
  [ControlMessageType.LimitReport]: LIMIT_REPORT_FIELDS,
  [ControlMessageType.UsageReport]: { startedAtMs: FieldType.Number, usage: FieldType.Object },
  [ControlMessageType.RolloutEvidence]: {
    gatewayId: FieldType.String,
    startId: FieldType.String,
    sequence: FieldType.Number,
    service: FieldType.String,
    orderIndex: FieldType.Number,
    routingIndex: FieldType.Number,
    rows: FieldType.Object,
  },
};

/** Required fields of the messages to entry hosts. */
export const CONTROL_FIELDS: MessageFields = {
  [ControlMessageType.Pong]: {
    pingId: FieldType.Number,
    newestSettingsIndex: FieldType.Number,
    membershipIndex: FieldType.Number,
    voters: FieldType.Object,
    isVoter: FieldType.Boolean,
  },
  [ControlMessageType.Settings]: {
    index: FieldType.Number,
    revision: FieldType.Number,
    tree: FieldType.Object,
  },
  [ControlMessageType.SettingsDelta]: {
    previousIndex: FieldType.Number,
    index: FieldType.Number,
    revision: FieldType.Number,
    path: FieldType.String,
  },
  [ControlMessageType.EntryHosts]: { entryHosts: FieldType.Object },
  [ControlMessageType.EntryHostChanges]: {
    entryHosts: FieldType.Object,
    removedIds: FieldType.Object,
  },
  [ControlMessageType.Compressed]: { bytes: FieldType.Object },
  [ControlMessageType.ClaimReply]: { requestId: FieldType.String, verdict: FieldType.String },
  [ControlMessageType.SettleReply]: { requestId: FieldType.String, durable: FieldType.Boolean },
  [ControlMessageType.Routing]: { view: FieldType.Object },
  [ControlMessageType.PackedRouting]: { index: FieldType.Number, bytes: FieldType.Object },
  [ControlMessageType.Backends]: {
    batchId: FieldType.Number,
    records: FieldType.Object,
    expiredIds: FieldType.Object,
  },
  [ControlMessageType.CrashReport]: CRASH_REPORT_FIELDS,
  [ControlMessageType.LimitReport]: LIMIT_REPORT_FIELDS,
  [ControlMessageType.UsageUpdate]: { levels: FieldType.Object },
};
