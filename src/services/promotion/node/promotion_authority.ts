/** An order to let a member lead. */
export interface PromotionOrder {
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
  /** Asked too often, or not able to now; nothing was done. */
  | 'not now'
  /** No answer: it may still be carried out, seconds later. */
  | 'unknown';

/** Whoever carries promotions out. */
export interface PromotionAuthority {
  promote(
    order: PromotionOrder,
    signal: AbortSignal,
  ): Promise<PromotionOutcome>;
}
