import type {LinkProtocol} from '../../../base/node/message_link';
import {PoolerRequest, PoolerResponse} from '../../../schema/generated/pooler';

/** What a proxy and a pooler say to each other. */
export const POOLER_PROTOCOL: LinkProtocol<PoolerRequest, PoolerResponse> = {
  name: 'pooler',
  requests: PoolerRequest,
  responses: PoolerResponse,
  // These links are many, and a proxy watches the silence of a pooler that has
  // its work: this only ends idle links to one that vanished.
  silenceMs: 6_000,
};
