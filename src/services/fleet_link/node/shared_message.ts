import {encodeFrame} from '../../../base/node/message_frames';
import {LeaderMessage} from '../../../schema/generated/fleet';

/**
 * One message for all proxies, made and encoded anew with each revision. After
 * a common restart a new leader sends each of 82 proxies the same catalog and
 * members, with code that is not compiled yet: encoded for each, the last ones
 * got theirs 0.8 s after the first.
 */
export class SharedMessage {
  private revision = '';
  private frame: Uint8Array = new Uint8Array(0);

  /** The frame of a revision; `make` is asked for a new revision only. */
  of(
    revision: string,
    make: () => NonNullable<LeaderMessage['body']>,
  ): Uint8Array {
    if (revision !== this.revision) {
      this.revision = revision;
      this.frame = encodeFrame(LeaderMessage, {body: make()});
    }
    return this.frame;
  }
}
