import type {CallerReply, Statement} from '../../statement/common/statement';

/** One request of a caller. */
export interface CallerRequest {
  readonly requestId: string;
  /** Undefined if the caller's message is not a statement. */
  readonly statement: Statement | undefined;
}

/** Sends replies to a caller, independently of its protocol. */
export interface CallerChannel {
  sendReply(reply: CallerReply): void;
  /** Ends the session; no request of the caller is pending. */
  close(): void;
}
