import type {LinkProtocol} from '../../../base/node/message_link';
import {
  CounterRequest,
  CounterResponse,
} from '../../../schema/generated/account';

/** Requests for permits from proxies to counters, and their answers. */
export const COUNTER_PROTOCOL: LinkProtocol<CounterRequest, CounterResponse> = {
  name: 'counter',
  requests: CounterRequest,
  responses: CounterResponse,
  // Only closes links to vanished counters; proxies exclude an unresponsive one
  // long before.
  maxSilenceMs: 2_000,
};
