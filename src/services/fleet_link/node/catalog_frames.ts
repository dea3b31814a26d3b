import {encodeFrame} from '../../../base/node/message_frames';
import {LeaderMessage, type Catalog} from '../../../schema/generated/fleet';
import {makeCatalogDelta} from '../../catalog/common/catalog_delta';

/**
 * Base versions that deltas are made from. A proxy whose version is older gets
 * the whole catalog.
 */
const MAX_BASE_CATALOGS = 8;

/** Encoded updates to the newest catalog, cached by base version. */
export class CatalogFrames {
  private readonly bases = new Map<number, Catalog>();
  private newest: Catalog | undefined;
  /** Frames by base version. */
  private readonly frames = new Map<number, Uint8Array>();

  /** The frame for a proxy at a version; 0 if it has no catalog. */
  frameSince(version: number, newest: Catalog): Uint8Array {
    if (this.newest !== newest) this.setNewest(newest);
    const cached = this.frames.get(version);
    if (cached) return cached;
    const base = this.bases.get(version);
    const body: LeaderMessage['body'] = base
      ? {$case: 'catalogDelta', value: makeCatalogDelta(base, newest)}
      : {$case: 'catalog', value: newest};
    const frame = encodeFrame(LeaderMessage, {body});
    this.frames.set(version, frame);
    return frame;
  }

  private setNewest(newest: Catalog): void {
    this.newest = newest;
    this.frames.clear();
    this.bases.set(newest.version, newest);
    const [oldest] = this.bases.keys();
    if (this.bases.size > MAX_BASE_CATALOGS) this.bases.delete(oldest!);
  }
}
