import { FieldType, type MessageFields } from '../../runtime/MessageCheck.js';
import { PeerMessageType } from '../PeerMessages.js';

/** Required fields of the messages between entry hosts. */
export const PEER_FIELDS: MessageFields = {
  [PeerMessageType.LeaseRequest]: {
    backendId: FieldType.String,
    incarnation: FieldType.Number,
  },
  [PeerMessageType.LeaseReleased]: {
    backendId: FieldType.String,
    incarnation: FieldType.Number,
    inFlight: FieldType.Number,
    limit: FieldType.Number,
  },
  [PeerMessageType.PoolStatus]: { service: FieldType.String, status: FieldType.Object },
  [PeerMessageType.Report]: {
    service: FieldType.String,
    address: FieldType.String,
    port: FieldType.Number,
    availabilityZone: FieldType.String,
    incarnation: FieldType.Number,
    state: FieldType.String,
    slots: FieldType.Number,
    inFlight: FieldType.Number,
  },
  [PeerMessageType.Suspicion]: {
    service: FieldType.String,
    fingerprint: FieldType.String,
    backendId: FieldType.String,
    incarnation: FieldType.Number,
    confirmed: FieldType.Boolean,
  },
  [PeerMessageType.FreshnessRequest]: {
    requestId: FieldType.Number,
    appliedIndex: FieldType.Number,
  },
  [PeerMessageType.FreshnessReply]: {
    requestId: FieldType.Number,
    index: FieldType.Number,
    currentForMs: FieldType.Number,
  },
};
