import {encodeFrame} from '../../../base/node/message_frames';
import {LeaderMessage} from '../../../schema/generated/fleet';
import {
  RevisionedList,
  type EntryComparer,
  type ListDelta,
} from '../common/revisioned_list';

type Body = NonNullable<LeaderMessage['body']>;

/**
 * The messages that bring proxies from what they heard of a list to the list as
 * it is; encoded once for all that heard of the same. After a common restart a
 * new leader sends each of 82 proxies the same members, with code that is not
 * compiled yet: encoded for each, the last ones got theirs 0.8 s after the
 * first.
 */
export class ListFrames<T> {
  private readonly changes: RevisionedList<T>;
  private readonly frames = new Map<number, Uint8Array>();
  private takenRevision: number | undefined;

  constructor(
    kind: EntryComparer<T>,
    private readonly bodyOf: (delta: ListDelta<T>) => Body,
  ) {
    this.changes = new RevisionedList(kind);
  }

  /** Takes the list as it is at its owner's revision; the revision of frames. */
  update(ownRevision: number, list: () => readonly T[]): number {
    if (ownRevision !== this.takenRevision) {
      this.takenRevision = ownRevision;
      const {revision} = this.changes;
      this.changes.update(list());
      if (this.changes.revision !== revision) this.frames.clear();
    }
    return this.changes.revision;
  }

  /** The frame for a proxy that heard of a revision; 0 where of none. */
  frameSince(revision: number): Uint8Array {
    const known = this.frames.get(revision);
    if (known) return known;
    const body = this.bodyOf(this.changes.deltaSince(revision));
    const frame = encodeFrame(LeaderMessage, {body});
    this.frames.set(revision, frame);
    return frame;
  }
}
