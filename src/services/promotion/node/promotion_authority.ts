/** An order to let a member lead. */
export interface PromotionRequest {
  readonly service: string;
  readonly instance: string;
  /** The control instance that gives the order. */
  readonly holder: string;
  /** Rises with each decision; an order with a lower one is refused. */
  readonly token: number;
}

/** What became of an order. */
export type PromotionOutcome =
  | 'accepted'
  /** Refused: a newer order was seen, or the member is not running. */
  | 'refused'
  /** Not sent, asked too often, or not able to now; nothing was done. */
  | 'not now'
  /** No answer: it may still be carried out, seconds later. */
  | 'unknown';

/** Whoever carries promotions out. */
export interface PromotionAuthority {
  /**
   * Sends an order.
   *
   * @param isFresh Asked right before the order goes out; where it says no,
   *     the order is not sent.
   */
  promote(
    order: PromotionRequest,
    isFresh: () => boolean,
    signal: AbortSignal,
  ): Promise<PromotionOutcome>;
}
