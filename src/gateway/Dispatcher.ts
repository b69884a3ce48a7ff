import type { RoutedService } from '../common/routing/Types.js';
import { CallRun } from './CallRun.js';
import type { SendAttempt, DispatcherOptions, DispatchOutcome } from './DispatchTypes.js';
import type { Call } from './Types.js';

/** Dispatches calls to backend servers, with retries and hedging where the route allows them. */
export class Dispatcher {
  constructor(private readonly options: DispatcherOptions) {}

  /** Runs one call; `onAbandoned` registers a callback for when the caller disconnects. */
  run(
    call: Call,
    service: RoutedService,
    send: SendAttempt,
    onAbandoned: (abandon: () => void) => void,
  ): Promise<DispatchOutcome> {
    return new CallRun(this.options, call, service, send, onAbandoned).run();
  }
}
