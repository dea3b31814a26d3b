import type {CallerReply, Statement} from '../../statement/common/statement';

/** One request of a caller. */
export interface CallerRequest {
  readonly requestId: string;
  /** Undefined where the caller sent something that is no statement. */
  readonly statement: Statement | undefined;
}

/** The way back to a caller, whatever protocol it speaks. */
export interface CallerChannel {
  answer(reply: CallerReply): void;
  /** Ends the session; a caller that has nothing under way is not harmed. */
  close(): void;
}
