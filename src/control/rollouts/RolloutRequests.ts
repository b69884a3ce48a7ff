import { EgretError, ErrorKind } from '../../common/Errors.js';
import { RolloutState } from '../../common/rollouts/Types.js';
import { CommandType, type Command } from '../Commands.js';
import type { ApplyResult, ReplicatedState } from '../ReplicatedState.js';
import { AdminRequestType, type Actor, type AdminRequest } from '../Types.js';
import { rolloutOf } from './RolloutBook.js';
import { RolloutOrderVerdict } from './RolloutCommands.js';

type RolloutRequest = Extract<
  AdminRequest,
  { type: AdminRequestType.StartRollout | AdminRequestType.AbortRollout }
>;

/** Context of a request that changes a rollout. */
export interface RolloutRequestContext {
  readonly actor: Actor;
  readonly wallMs: number;
  /** Called once the request is applied, or refused. */
  readonly onApplied: (body: unknown, error: EgretError | null) => void;
  readonly onLost: () => void;
}

/** What a request needs of its control host. */
interface Dependencies {
  readonly replicatedState: ReplicatedState;
  readonly propose: (
    command: Command,
    callbacks: { readonly onApplied: (result: ApplyResult) => void; readonly onLost: () => void },
  ) => boolean;
}

const REFUSALS: Record<RolloutOrderVerdict, ((service: string) => EgretError) | undefined> = {
  [RolloutOrderVerdict.Accepted]: undefined,
  [RolloutOrderVerdict.Running]: (service) =>
    new EgretError(ErrorKind.RolloutRunning, `Service ${service} has a running rollout.`),
  [RolloutOrderVerdict.UnknownService]: (service) =>
    new EgretError(ErrorKind.UnknownService, `The routing has no service ${service}.`),
};

/** True for a request that starts or ends a rollout. */
export function isRolloutRequest(request: AdminRequest): request is RolloutRequest {
  return (
    request.type === AdminRequestType.StartRollout || request.type === AdminRequestType.AbortRollout
  );
}

function proposeAbort(
  { propose, replicatedState }: Dependencies,
  service: string,
  { actor, wallMs, onApplied, onLost }: RolloutRequestContext,
): void {
  const rollout = rolloutOf(replicatedState.routing.view, service);
  if (rollout?.state !== RolloutState.Running) {
    const detail = `Service ${service} has no running rollout.`;
    onApplied(null, new EgretError(ErrorKind.NotFound, detail));
    return;
  }
  const { orderIndex } = rollout;
  propose(
    {
      type: CommandType.RolloutVerdict,
      service,
      orderIndex,
      state: RolloutState.RolledBack,
      share: 0,
      reason: 'aborted by an operator',
      actor: actor.name,
      atMs: wallMs,
    },
    { onApplied: () => onApplied(rolloutOf(replicatedState.routing.view, service), null), onLost },
  );
}

/**
 * Proposes the command of a request; the context receives the answer.
 * Errors are of kind rollout-running, unknown-service or not-found.
 */
export function proposeRollout(
  dependencies: Dependencies,
  request: RolloutRequest,
  context: RolloutRequestContext,
): void {
  const { service } = request;
  if (request.type === AdminRequestType.AbortRollout) {
    proposeAbort(dependencies, service, context);
    return;
  }
  const { toVersion, durationMs } = request;
  const { actor, wallMs, onApplied, onLost } = context;
  dependencies.propose(
    {
      type: CommandType.RolloutOrder,
      service,
      toVersion,
      durationMs,
      actor: actor.name,
      atMs: wallMs,
    },
    {
      onApplied: ({ rolloutOrder }) => {
        const refusal = REFUSALS[rolloutOrder!.verdict];
        onApplied(rolloutOrder!.rollout, refusal ? refusal(service) : null);
      },
      onLost,
    },
  );
}
