import type { LogEvent } from '../common/LogEvents.js';
import type { DecisionLog } from './DispatchTypes.js';

/**
 * Log of attempts that are sent to other gateways: events of their own, and `peer` in place of
 * `backend`.
 *
 * @example
 * createForwardLog(log)('attempt_sent', { backend: 'gateway-2' }); // call_forwarded peer=gateway-2
 */
export function createForwardLog(log: DecisionLog): DecisionLog {
  const writers: Partial<Record<LogEvent, (fields: Parameters<DecisionLog>[1]) => void>> = {
    attempt_sent: (fields) => log('call_forwarded', fields),
    attempt_failed: (fields) => log('forward_failed', fields),
    attempt_overdue: (fields) => log('forward_failed', fields),
    no_backend: (fields) => log('no_peer', fields),
  };
  return (event, { backend: peer, ...others }) => writers[event]?.({ peer, ...others });
}
