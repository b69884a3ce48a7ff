import { Option } from 'clipanion';
import { EgretError, ErrorKind } from '../common/Errors.js';
import type { Rollout } from '../common/rollouts/Types.js';
import { AdminRequestType, type AdminRequest } from '../control/Types.js';
import { CtlCommand } from './CtlCommand.js';

const MS_PER_SECOND = 1_000;

/** Sends a request about a rollout and prints the rollout. */
abstract class RolloutCommand extends CtlCommand {
  service = Option.String();

  protected abstract request(): AdminRequest;

  protected async run(): Promise<void> {
    const rollout = await this.client().send<Rollout>(this.request());
    this.print(rollout, [
      `service=${rollout.service} toVersion=${rollout.toVersion} state=${rollout.state} ` +
        `share=${rollout.share} dueAtMs=${rollout.dueAtMs}`,
    ]);
  }
}

/** `egretctl rollout start SERVICE VERSION SECONDS` */
export class RolloutStartCommand extends RolloutCommand {
  static override paths = [['rollout', 'start']];

  static override usage = CtlCommand.Usage({
    description: 'Moves the calls of a service to backend servers of another version.',
    details:
      'The system compares both versions and completes the rollout or rolls it back within the ' +
      'given seconds. The same order can be sent again safely. Exit codes: 0 accepted, 1 refused, ' +
      '4 no majority.',
    examples: [['Roll out a version', 'egretctl rollout start ledger v2 60']],
  });

  toVersion = Option.String();

  seconds = Option.String();

  protected request(): AdminRequest {
    const durationMs = Math.round(Number(this.seconds) * MS_PER_SECOND);
    if (!(durationMs > 0)) {
      const detail = `SECONDS must be a number above 0, not ${this.seconds}.`;
      throw new EgretError(ErrorKind.BadRequest, detail);
    }
    const { service, toVersion } = this;
    return { type: AdminRequestType.StartRollout, service, toVersion, durationMs };
  }
}

/** `egretctl rollout status SERVICE` */
export class RolloutStatusCommand extends RolloutCommand {
  static override paths = [['rollout', 'status']];

  static override usage = CtlCommand.Usage({
    description: 'Shows the last rollout of a service.',
  });

  protected request(): AdminRequest {
    return { type: AdminRequestType.ShowRollout, service: this.service };
  }
}

/** `egretctl rollout abort SERVICE` */
export class RolloutAbortCommand extends RolloutCommand {
  static override paths = [['rollout', 'abort']];

  static override usage = CtlCommand.Usage({
    description: 'Rolls back the running rollout of a service at once; the state is final.',
  });

  protected request(): AdminRequest {
    return { type: AdminRequestType.AbortRollout, service: this.service };
  }
}
