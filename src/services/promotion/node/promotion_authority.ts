import type {PromotionOutcome} from '../common/promotion_outcome';

/** Request to the platform to promote a member. */
export interface PromotionRequest {
  readonly service: string;
  readonly instance: string;
  /** The control instance that sends the request. */
  readonly holder: string;
  /** Fencing token, which grows with each decision; lower ones are refused. */
  readonly token: number;
}

/** What is known of a promotion request after its reply or without one. */
export interface PromotionReply {
  readonly outcome: PromotionOutcome;
  /** Status code of the reply; undefined without one. */
  readonly status?: number;
  /**
   * When the whole request had been handed to the socket, on the clock of
   * `PromotionAccess`; undefined if it was not.
   */
  readonly writtenAt?: number;
}

/** The service of the platform that executes promotions. */
export interface PromotionAuthority {
  /** Connects for the next request, so that it leaves without delay. */
  prepare(signal: AbortSignal): void;

  /**
   * Sends a promotion request.
   *
   * @param isFresh Called right before the request is sent; if it returns
   *     false, the request is not sent.
   */
  promote(
    request: PromotionRequest,
    isFresh: () => boolean,
    signal: AbortSignal,
  ): Promise<PromotionReply>;
}
