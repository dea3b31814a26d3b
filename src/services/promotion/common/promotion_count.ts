/** How many promotion requests of a service had an outcome. */
export interface PromotionCount {
  readonly service: string;
  readonly outcome: string;
  readonly count: number;
}
