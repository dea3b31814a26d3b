import type {
  AppendRequest,
  ConsensusMessage,
} from '../../../schema/generated/consensus';

/**
 * Finds what contradicts itself in a message of a peer; undefined if nothing
 * does. The consensus core relies on logs without gaps.
 */
export function findMessageFault({body}: ConsensusMessage): string | undefined {
  if (body?.$case !== 'appendRequest') return undefined;
  return findGap(body.value);
}

function findGap({previousIndex, entries}: AppendRequest): string | undefined {
  const at = entries.findIndex(
    ({index}, position) => index !== previousIndex + 1 + position,
  );
  if (at < 0) return undefined;
  const expected = previousIndex + 1 + at;
  return `entry ${entries[at]!.index} in the place of entry ${expected}`;
}
