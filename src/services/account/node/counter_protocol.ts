import type {LinkProtocol} from '../../../base/node/message_link';
import {
  CounterRequest,
  CounterResponse,
} from '../../../schema/generated/account';

/** What a proxy and a counter of its accounts' operations say to each other. */
export const COUNTER_PROTOCOL: LinkProtocol<CounterRequest, CounterResponse> = {
  name: 'counter',
  requests: CounterRequest,
  responses: CounterResponse,
  // A counter that does not answer is passed over by its proxies long before:
  // this only ends links to one that vanished.
  silenceMs: 2_000,
};
