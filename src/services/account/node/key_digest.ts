import {createHash} from 'node:crypto';

/** 128 bits: two keys of a deployment never share a digest by chance. */
const DIGEST_CHARACTERS = 22;

/**
 * The digest by which a caller's key is looked up.
 *
 * Guard: proxies hold digests only, so that no memory, log or catalog of theirs
 * gives a key away, and the time that a look-up takes says nothing of how much
 * of a key was right. Keys are long and random, so a plain hash is enough.
 */
export function digestOfKey(key: string): string {
  const digest = createHash('sha256').update(key).digest('base64');
  return digest.slice(0, DIGEST_CHARACTERS);
}
