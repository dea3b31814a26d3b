import {comparePositions, type Position} from '../../position/common/position';

/** What one member whose log counts said in this attempt. */
export interface MemberLogState {
  readonly instance: string;
  readonly draining: boolean;
  /** What its log has received; undefined where it did not answer. */
  readonly received: Position | undefined;
  /**
   * Its log may lack commits that it confirmed in an earlier life. It can lead
   * where it holds enough, but says nothing of what was acknowledged.
   */
  readonly recovering: boolean;
}

/** What a choice is made from. */
export interface SuccessorCandidates {
  /** The old primary; its answer counts only once it has stepped down. */
  readonly oldPrimary: MemberLogState | undefined;
  /** All other members, stopped before they answered. */
  readonly replicas: readonly MemberLogState[];
}

/** Which member is to lead, or why none may yet. */
export type SuccessorChoice =
  | {readonly kind: 'promote'; readonly instance: string}
  | {readonly kind: 'wait'; readonly reason: string};

/**
 * Chooses the member that leads next, so that no acknowledged commit is lost.
 *
 * A commit is acknowledged once any one replica has received it. With the old
 * primary stepped down its log has all of them, and a replica that reached its
 * end has too. Without its word every replica must answer after it stopped
 * receiving: the one with the most then has every acknowledged commit. Where
 * one is missing, it may be the only one with some commit, so the choice waits.
 * One that started again without its log is as good as missing: what it had
 * confirmed before is gone with its earlier life.
 */
export function chooseSuccessor({
  oldPrimary,
  replicas,
}: SuccessorCandidates): SuccessorChoice {
  const answered = replicas.filter(({received}) => received !== undefined);
  const end = oldPrimary?.recovering ? undefined : oldPrimary?.received;
  if (end) {
    const full = answered.filter(({received}) => {
      return comparePositions(received!, end) >= 0;
    });
    const heir = best(full);
    if (heir) return {kind: 'promote', instance: heir.instance};
  }
  const missing = replicas.filter(({received, recovering}) => {
    return received === undefined || recovering;
  });
  if (missing.length > 0) {
    const names = missing.map(({instance}) => instance).join(' ');
    return {kind: 'wait', reason: `no proof by the logs of ${names}`};
  }
  const heir = best(answered);
  if (!heir) return {kind: 'wait', reason: 'no replica is known'};
  return {kind: 'promote', instance: heir.instance};
}

/** The one with the most; of equals one that stays. */
function best(members: readonly MemberLogState[]): MemberLogState | undefined {
  return [...members].sort((a, b) => {
    const byLog = comparePositions(b.received!, a.received!);
    return byLog || Number(a.draining) - Number(b.draining);
  })[0];
}
