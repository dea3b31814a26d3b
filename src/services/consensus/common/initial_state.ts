import type {Peer, Snapshot} from '../../../schema/generated/consensus';
import type {PersistedState} from './consensus_types';

/** The state of an instance that starts a system of its own. */
export function singlePeerState(peer: Peer): PersistedState {
  const configuration = {peers: [{...peer, voter: true}]};
  const snapshot: Snapshot = {
    index: 1,
    term: 1,
    configuration,
    state: Buffer.alloc(0),
  };
  return {hardState: {term: 1, votedFor: ''}, snapshot, entries: []};
}

/** The state of an instance that waits to be taken in by a leader. */
export function emptyState(): PersistedState {
  const snapshot: Snapshot = {
    index: 0,
    term: 0,
    configuration: {peers: []},
    state: Buffer.alloc(0),
  };
  return {hardState: {term: 0, votedFor: ''}, snapshot, entries: []};
}

/** The id of an instance that belongs to the first members of a system. */
export function initialPeerId(address: string): string {
  return `${address}#founder`;
}

/**
 * What all first members of a system begin with. Each makes it by itself, so
 * all have to know the same list; the bytes are the same then.
 */
export function initialSnapshot(addresses: readonly string[]): Snapshot {
  const peers = [...addresses].sort().map(address => {
    return {id: initialPeerId(address), address, voter: true};
  });
  return {
    index: 1,
    term: 1,
    configuration: {peers},
    state: Buffer.alloc(0),
  };
}
