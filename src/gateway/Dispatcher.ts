import type { RoutedService } from '../common/routing/Types.js';
import { CallRun } from './CallRun.js';
import type { SendAttempt, DispatcherOptions, DispatchOutcome } from './DispatchTypes.js';
import type { Call } from './Types.js';

/** Sends each call to a backend server, and to a second one where that is allowed and helps. */
export class Dispatcher {
  constructor(private readonly options: DispatcherOptions) {}

  /** Runs one call; `onAbandoned` registers what to do when the caller leaves. */
  run(
    call: Call,
    service: RoutedService,
    send: SendAttempt,
    onAbandoned: (abandon: () => void) => void,
  ): Promise<DispatchOutcome> {
    return new CallRun(this.options, call, service, send, onAbandoned).run();
  }
}
