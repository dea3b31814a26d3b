import {comparePositions, type Position} from '../../position/common/position';

/** State of one member's log, as it reported it in this attempt. */
export interface MemberLogState {
  readonly instance: string;
  readonly draining: boolean;
  /** End of its log; undefined if it did not reply. */
  readonly received: Position | undefined;
  /**
   * Its log may lack commits that it confirmed before it was restarted. It can
   * be promoted if it holds enough, but does not prove what was acknowledged.
   */
  readonly recovering: boolean;
}

/** Members among which the next primary is chosen. */
export interface SuccessorCandidates {
  /** The old primary; its position only counts once it has stepped down. */
  readonly oldPrimary: MemberLogState | undefined;
  /** All other members, which stopped receiving before they replied. */
  readonly replicas: readonly MemberLogState[];
}

/** The member to promote, or why none can be promoted yet. */
export type SuccessorChoice =
  | {readonly kind: 'promote'; readonly instance: string}
  | {readonly kind: 'wait'; readonly reason: string};

/**
 * Chooses the next primary so that no acknowledged commit is lost.
 *
 * A commit is acknowledged once any one replica has received it. The log of an
 * old primary that stepped down has all of them, and so has a replica that
 * reached its end. Otherwise every replica must reply after it stopped
 * receiving, and the longest log wins: a replica that is missing, or was
 * restarted without its log, may have been the only one with some commit.
 */
export function chooseSuccessor({
  oldPrimary,
  replicas,
}: SuccessorCandidates): SuccessorChoice {
  const replied = replicas.filter(({received}) => received !== undefined);
  const primaryLogEnd = oldPrimary?.recovering
    ? undefined
    : oldPrimary?.received;
  if (primaryLogEnd) {
    const caughtUp = replied.filter(({received}) => {
      return comparePositions(received!, primaryLogEnd) >= 0;
    });
    const best = pickBest(caughtUp);
    if (best) return {kind: 'promote', instance: best.instance};
  }
  const unproven = replicas.filter(({received, recovering}) => {
    return received === undefined || recovering;
  });
  if (unproven.length > 0) {
    const names = unproven.map(({instance}) => instance).join(' ');
    return {kind: 'wait', reason: `no complete log from ${names}`};
  }
  const successor = pickBest(replied);
  if (!successor) return {kind: 'wait', reason: 'the service has no replica'};
  return {kind: 'promote', instance: successor.instance};
}

/** The member with the longest log; among equals one that is not draining. */
function pickBest(
  members: readonly MemberLogState[],
): MemberLogState | undefined {
  return [...members].sort((a, b) => {
    const byLog = comparePositions(b.received!, a.received!);
    return byLog || Number(a.draining) - Number(b.draining);
  })[0];
}
