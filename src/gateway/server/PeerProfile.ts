import { LimitReadingType, NO_NOTICE, type WireProfile } from '../Types.js';
import { FORWARD_HEADER, PEER_ANSWER_HEADER, PeerAnswer } from './ForwardMark.js';

/**
 * Headers between gateways: those of callers and backend servers, and a mark on a gateway's own
 * answers.
 */
export function createPeerProfile(profile: WireProfile): WireProfile {
  return {
    ...profile,
    attemptHeaderNames: new Set([...profile.attemptHeaderNames, FORWARD_HEADER]),
    readAnswer: (statusCode, headers) => {
      const kind = headers[PEER_ANSWER_HEADER];
      const answer = profile.readAnswer(statusCode, headers);
      return {
        ...answer,
        // Any other answer is passed on, also one of the other gateway itself.
        notRun: kind === PeerAnswer.Unsent,
        load: undefined,
        limit: { type: LimitReadingType.Unknown },
        // Notices come from the backend server behind the other gateway.
        notice: NO_NOTICE,
      };
    },
  };
}
