/** What is known of a primary. */
export interface PrimaryObservations {
  /** How long control has had no answer of it, in milliseconds. */
  readonly silentMs: number;
  /** Whether connections to it are refused: its process is gone. */
  readonly refused: boolean;
  readonly draining: boolean;
  /** Its own word, asked for lately, that it does not lead. */
  readonly denies: boolean;
  /** Proxies that are attached to control. */
  readonly proxies: number;
  /** Those that say they cannot use it. */
  readonly complaints: number;
  /** For how long at least half of the proxies complained, in ms. */
  readonly complainedMs: number;
  /** Proxies were told to rely on nobody, and so complain of nobody. */
  readonly isRevoked: boolean;
}

/** Whether a primary is to be replaced, and why. */
export type Assessment =
  {readonly kind: 'keep'} | {readonly kind: 'replace'; readonly reason: string};

/** A process that refuses connections is gone; a restart takes longer. */
const REFUSED_MS = 150;
/** Above a ping interval and a way between regions with a packet sent again. */
const SILENT_MS = 500;
/** A cut between proxies and primary must last, to be worth a change. */
const COMPLAINED_MS = 1_000;

/**
 * Judges a primary by control's own eyes and by those of the proxies. Either
 * alone may be cut off from it while it serves; a change would cost a gap.
 */
export function assessPrimary(view: PrimaryObservations): Assessment {
  const {proxies, complaints, refused, silentMs} = view;
  // Guard: a primary that starts again does so as a replica. It answers and is
  // not leaving, but nobody would ever serve writes again.
  if (view.denies) return {kind: 'replace', reason: 'it does not lead'};
  if (view.draining) return {kind: 'replace', reason: 'it is leaving'};
  // Guard: where no heir was found at once, a silent primary whose lead was
  // revoked would be kept for want of complaints, and nobody would lead until
  // it came back.
  const half = view.isRevoked || complaints * 2 >= proxies;
  const isGone = refused && silentMs >= REFUSED_MS;
  if ((isGone || silentMs >= SILENT_MS) && half) {
    const reason = refused ? 'it refuses connections' : 'it is silent';
    return {kind: 'replace', reason};
  }
  const isCut = complaints > 0 && half && view.complainedMs >= COMPLAINED_MS;
  if (isCut) return {kind: 'replace', reason: 'proxies cannot use it'};
  return {kind: 'keep'};
}
