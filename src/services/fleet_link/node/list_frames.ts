import {encodeFrame} from '../../../base/node/message_frames';
import {LeaderMessage} from '../../../schema/generated/fleet';
import {
  RevisionedList,
  type EntryComparer,
  type ListDelta,
} from '../common/revisioned_list';

type Body = NonNullable<LeaderMessage['body']>;

/**
 * Encoded updates of a list, cached by base revision: each frame is encoded
 * once for all proxies at the same revision. This shortens the startup of a
 * fleet, in which all proxies need the whole list.
 */
export class ListFrames<T> {
  private readonly list: RevisionedList<T>;
  private readonly frames = new Map<number, Uint8Array>();
  private ownerRevision: number | undefined;

  constructor(
    comparer: EntryComparer<T>,
    private readonly bodyOf: (delta: ListDelta<T>) => Body,
  ) {
    this.list = new RevisionedList(comparer);
  }

  /**
   * Updates the list if the revision of its owner changed. Returns the revision
   * of the frames.
   */
  update(ownRevision: number, list: () => readonly T[]): number {
    if (ownRevision !== this.ownerRevision) {
      this.ownerRevision = ownRevision;
      const {revision} = this.list;
      this.list.update(list());
      if (this.list.revision !== revision) this.frames.clear();
    }
    return this.list.revision;
  }

  /** The frame for a proxy at a revision; 0 if it has no list. */
  frameSince(revision: number): Uint8Array {
    const cached = this.frames.get(revision);
    if (cached) return cached;
    const body = this.bodyOf(this.list.deltaSince(revision));
    const frame = encodeFrame(LeaderMessage, {body});
    this.frames.set(revision, frame);
    return frame;
  }
}
