import type {Peer, Snapshot} from '../../../schema/generated/consensus';
import type {PersistedState} from './consensus_types';
import {makeConfiguration} from './configuration';

/** State of an instance that bootstraps a group with itself as only voter. */
export function singlePeerState(peer: Peer): PersistedState {
  const configuration = makeConfiguration([{...peer, voter: true}]);
  const snapshot: Snapshot = {
    index: 1,
    term: 1,
    configuration,
    state: Buffer.alloc(0),
  };
  return {hardState: {term: 1, votedFor: ''}, snapshot, entries: []};
}

/** State of an instance that waits to join a group. */
export function emptyState(): PersistedState {
  const snapshot: Snapshot = {
    index: 0,
    term: 0,
    configuration: makeConfiguration([]),
    state: Buffer.alloc(0),
  };
  return {hardState: {term: 0, votedFor: ''}, snapshot, entries: []};
}

/** Id of a peer of the initial configuration. */
export function initialPeerId(address: string): string {
  return `${address}#founder`;
}

/**
 * The snapshot that all initial peers start with. Each makes it on its own from
 * the same list of addresses, so the bytes are equal.
 */
export function initialSnapshot(addresses: readonly string[]): Snapshot {
  const peers = [...addresses].sort().map(address => {
    return {id: initialPeerId(address), address, voter: true};
  });
  return {
    index: 1,
    term: 1,
    configuration: makeConfiguration(peers),
    state: Buffer.alloc(0),
  };
}
