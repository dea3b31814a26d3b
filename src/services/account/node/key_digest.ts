import {createHash} from 'node:crypto';

/** 128 bits, so that two keys of a deployment never share a digest. */
const DIGEST_CHARACTERS = 22;

/**
 * Returns the digest by which a caller's key is looked up.
 *
 * Guard: proxies store digests only, so that their memory, logs and catalogs
 * reveal no key, and the duration of a look-up does not depend on the key. Keys
 * are long and random, so an unsalted hash is enough.
 */
export function digestOfKey(key: string): string {
  const digest = createHash('sha256').update(key).digest('base64');
  return digest.slice(0, DIGEST_CHARACTERS);
}
