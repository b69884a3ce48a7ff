import { deflateSync, inflateSync } from 'node:zlib';
import Result from 'true-myth/result';
import { withKeyDigests } from '../../runtime/KeyDigest.js';
import { MAX_MESSAGE_BYTES } from '../../common/Constants.js';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import {
  ControlMessageType,
  type ControlToEntryMessage,
  type PackedRoutingMessage,
  type RoutingMessage,
} from '../../common/Messages.js';
import type { RoutingView } from '../../common/routing/Types.js';
import { checkMessage, FieldType } from '../../runtime/MessageCheck.js';
import { decodeMessage, encodeMessage } from '../../runtime/MessageCodec.js';

/** Message to an entry host. */
export interface OutgoingMessage {
  readonly message: ControlToEntryMessage;
  /** True if a large routing may be compressed. */
  readonly acceptsPacked?: boolean;
}

/** Encoded size from which a view is compressed; below it, the time on the link is short. */
const PACK_FROM_BYTES = 4 * 1024;

const VIEW_TYPE = 'view';
const VIEW_FIELDS = {
  [VIEW_TYPE]: {
    index: FieldType.Number,
    version: FieldType.Number,
    table: FieldType.Object,
    closedZones: FieldType.Object,
  },
};

function malformed(detail: string): Result<RoutingView, EgretError> {
  return Result.err(new EgretError(ErrorKind.BadRequest, `Packed routing: ${detail}`));
}

/**
 * Compresses a view; `null` if it is small.
 *
 * @example
 * packRouting({ index: 1, version: 0, table: null, closedZones: [] }); // null
 */
export function packRouting(view: RoutingView): PackedRoutingMessage | null {
  const bytes = encodeMessage(view);
  if (bytes.length < PACK_FROM_BYTES) return null;
  return {
    type: ControlMessageType.PackedRouting,
    index: view.index,
    bytes: deflateSync(bytes),
  };
}

/**
 * Decompresses a view, up to the size that a message may have.
 *
 * @example
 * unpackRouting(packRouting(view)!).unwrapOr(undefined); // equals view
 */
export function unpackRouting(message: PackedRoutingMessage): Result<RoutingView, EgretError> {
  if (!(message.bytes instanceof Uint8Array)) return malformed('no bytes');
  let bytes: Buffer;
  try {
    bytes = inflateSync(message.bytes, { maxOutputLength: MAX_MESSAGE_BYTES });
  } catch (error) {
    return malformed(String(error));
  }
  return decodeMessage(bytes)
    .andThen((view) => checkMessage({ ...view, type: VIEW_TYPE }, VIEW_FIELDS).map(() => view))
    .andThen((view) =>
      Array.isArray(view.closedZones)
        ? Result.ok<RoutingView, EgretError>(view as unknown as RoutingView)
        : malformed('closedZones is not a list'),
    );
}

/** Replaces keys by digests and compresses the routing, once for all sessions. */
export class RoutingPacker {
  private view: RoutingView | undefined;

  private plain: RoutingMessage | undefined;

  /** Undefined until a session accepts it; null if the view is small. */
  private packed: PackedRoutingMessage | null | undefined;

  /** Returns the message in the form in which it is sent on the session. */
  packFor({ message, acceptsPacked }: OutgoingMessage): ControlToEntryMessage {
    if (message.type !== ControlMessageType.Routing) return message;
    // Views are replaced and never changed.
    if (!this.plain || this.view !== message.view) {
      this.view = message.view;
      this.plain = { ...message, view: withKeyDigests(message.view) };
      this.packed = undefined;
    }
    if (!acceptsPacked) return this.plain;
    if (this.packed === undefined) this.packed = packRouting(this.plain.view);
    return this.packed ?? this.plain;
  }
}
