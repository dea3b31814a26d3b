import type {
  HardState,
  LogEntry,
  Snapshot,
} from '../../../../schema/generated/consensus';
import type {Effect} from '../../common/consensus_types';

/** Content of the disk of an instance in a simulation. */
export interface SimulatedDisk {
  hardState: HardState;
  snapshot: Snapshot;
  entries: LogEntry[];
}

/** Saves what a step made durable; returns the last appended entry, if any. */
export function saveEffects(
  disk: SimulatedDisk,
  effects: readonly Effect[],
): LogEntry | undefined {
  let last: LogEntry | undefined;
  for (const effect of effects) {
    if (effect.kind === 'saveHardState') disk.hardState = effect.state;
    if (effect.kind === 'truncate') {
      disk.entries = disk.entries.filter(({index}) => index < effect.from);
    }
    if (effect.kind === 'append') {
      disk.entries.push(...effect.entries);
      last = effect.entries.at(-1);
    }
    if (effect.kind === 'installSnapshot') {
      disk.snapshot = effect.snapshot;
      disk.entries = [...effect.remaining];
    }
  }
  return last;
}
