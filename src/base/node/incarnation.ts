import {randomBytes} from 'node:crypto';
import {incarnationId, type IncarnationId} from '../common/ids';

/** Generates a random id for this run of the process. */
export function newIncarnation(): IncarnationId {
  return incarnationId(randomBytes(6).toString('hex'));
}
