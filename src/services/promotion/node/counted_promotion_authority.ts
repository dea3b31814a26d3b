import type {PromotionCount} from '../common/promotion_count';
import type {PromotionOutcome} from '../common/promotion_outcome';
import type {
  PromotionAuthority,
  PromotionReply,
  PromotionRequest,
} from './promotion_authority';

/**
 * Counts promotion requests by service and outcome. It outlives leaderships, so
 * that requests without a reply stay visible at the instance that sent them.
 */
export class CountedPromotionAuthority implements PromotionAuthority {
  private readonly byService = new Map<string, Map<PromotionOutcome, number>>();

  constructor(private readonly authority: PromotionAuthority) {}

  prepare(signal: AbortSignal): void {
    this.authority.prepare(signal);
  }

  async promote(
    request: PromotionRequest,
    isFresh: () => boolean,
    signal: AbortSignal,
  ): Promise<PromotionReply> {
    const reply = await this.authority.promote(request, isFresh, signal);
    this.count(request.service, reply.outcome);
    return reply;
  }

  /** The counts since the start of the process. */
  get counts(): PromotionCount[] {
    return [...this.byService].flatMap(([service, outcomes]) => {
      return [...outcomes].map(([outcome, count]) => {
        return {service, outcome, count};
      });
    });
  }

  private count(service: string, outcome: PromotionOutcome): void {
    const outcomes = this.byService.get(service) ?? new Map();
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    this.byService.set(service, outcomes);
  }
}
