import {encodeFrame} from '../../../base/node/message_frames';
import {LeaderMessage, type Catalog} from '../../../schema/generated/fleet';
import {makeCatalogDelta} from '../../catalog/common/catalog_delta';

/**
 * Catalogs that deltas are made from. Proxies get four a second at most, so the
 * slowest one has to be 2 s behind before it gets a whole catalog instead.
 */
const MOST_KEPT = 8;

/** The messages that bring proxies from what they have to the newest catalog. */
export class CatalogFrames {
  private readonly kept = new Map<number, Catalog>();
  private newest: Catalog | undefined;
  /** Frames to the newest catalog by the version that they start from. */
  private readonly frames = new Map<number, Uint8Array>();

  /** The frame for a proxy that has a version; 0 where it has none. */
  frameSince(version: number, newest: Catalog): Uint8Array {
    if (this.newest !== newest) this.take(newest);
    const known = this.frames.get(version);
    if (known) return known;
    const base = this.kept.get(version);
    const body: LeaderMessage['body'] = base
      ? {$case: 'catalogDelta', value: makeCatalogDelta(base, newest)}
      : {$case: 'catalog', value: newest};
    const frame = encodeFrame(LeaderMessage, {body});
    this.frames.set(version, frame);
    return frame;
  }

  private take(newest: Catalog): void {
    this.newest = newest;
    this.frames.clear();
    this.kept.set(newest.version, newest);
    const [oldest] = this.kept.keys();
    if (this.kept.size > MOST_KEPT) this.kept.delete(oldest!);
  }
}
