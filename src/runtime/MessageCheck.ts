import Result from 'true-myth/result';
import { EgretError, ErrorKind } from '../common/Errors.js';

/** JSON-like type of a message field. */
export enum FieldType {
  Number = 'number',
  String = 'string',
  Boolean = 'boolean',
  Object = 'object',
  Any = 'any',
}

/** Required fields per message type; `null` is accepted for objects only. */
export type MessageFields = Readonly<Record<string, Readonly<Record<string, FieldType>>>>;

/** True for a message with a type that is not among those expected. */
export function isUnknownType(message: Record<string, unknown>, fields: MessageFields): boolean {
  return typeof message.type === 'string' && !Object.hasOwn(fields, message.type);
}

/**
 * Checks that a message has a known type and every required field.
 *
 * @example
 * checkMessage({ type: 'ping', pingId: 1 }, { ping: { pingId: FieldType.Number } }).isOk; // true
 */
export function checkMessage(
  message: Record<string, unknown>,
  fields: MessageFields,
): Result<Record<string, unknown>, EgretError> {
  const { type } = message;
  const required =
    typeof type === 'string' && Object.hasOwn(fields, type) ? fields[type] : undefined;
  if (!required) {
    const detail = `Message type ${String(type)} is unknown.`;
    return Result.err(new EgretError(ErrorKind.BadRequest, detail));
  }
  const wrong = Object.entries(required).find(
    ([field, expected]) => expected !== FieldType.Any && typeof message[field] !== expected,
  );
  if (!wrong) return Result.ok(message);
  const detail = `Field ${wrong[0]} of ${String(type)} is not of type ${wrong[1]}.`;
  return Result.err(new EgretError(ErrorKind.BadRequest, detail));
}
