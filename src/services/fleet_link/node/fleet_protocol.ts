import type {LinkProtocol} from '../../../base/node/message_link';
import {FollowerMessage, LeaderMessage} from '../../../schema/generated/fleet';

/** The protocol between proxies and the control leader. */
export const FLEET_PROTOCOL: LinkProtocol<FollowerMessage, LeaderMessage> = {
  name: 'fleet',
  requests: FollowerMessage,
  responses: LeaderMessage,
  // A leader answers each proxy at least twice in this time; a new leader is
  // elected in about the same time.
  maxSilenceMs: 1_000,
};
