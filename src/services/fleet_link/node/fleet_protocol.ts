import type {LinkProtocol} from '../../../base/node/message_link';
import {FollowerMessage, LeaderMessage} from '../../../schema/generated/fleet';

/** What proxies and the leader of control say to each other. */
export const FLEET_PROTOCOL: LinkProtocol<FollowerMessage, LeaderMessage> = {
  name: 'fleet',
  requests: FollowerMessage,
  responses: LeaderMessage,
  // A leader answers each proxy twice in this time. Whoever leads after one
  // that froze is elected within 1 s, and proxies hear of it not much later.
  silenceMs: 1_000,
};
