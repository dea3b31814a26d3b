import type {LinkProtocol} from '../../../base/node/message_link';
import {PoolerRequest, PoolerResponse} from '../../../schema/generated/pooler';

/** The protocol between a proxy and a pooler. */
export const POOLER_PROTOCOL: LinkProtocol<PoolerRequest, PoolerResponse> = {
  name: 'pooler',
  requests: PoolerRequest,
  responses: PoolerResponse,
  // A proxy itself detects the silence of a pooler with pending requests; this
  // timeout only closes idle links to one that is gone.
  maxSilenceMs: 6_000,
};
