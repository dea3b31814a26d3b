import type {Configuration, Peer} from '../../../schema/generated/consensus';

/** How one configuration differs from another, by peer ids. */
export interface ConfigurationChange {
  readonly added: readonly string[];
  readonly removed: readonly string[];
  /** Learners that became voters. */
  readonly promoted: readonly string[];
  /** Voters that became learners. */
  readonly demoted: readonly string[];
  /** Peers with another change, such as of their address. */
  readonly altered: readonly string[];
  /** Changed fields of the configuration beside its peers. */
  readonly fields: readonly string[];
}

/** Describes a change of the configuration; undefined if there is none. */
export function describeChange(
  before: Configuration,
  after: Configuration,
): ConfigurationChange | undefined {
  const old = new Map(before.peers.map(peer => [peer.id, peer]));
  const next = new Map(after.peers.map(peer => [peer.id, peer]));
  const kept = after.peers.flatMap(peer => {
    const previous = old.get(peer.id);
    return previous ? [{previous, peer}] : [];
  });
  const keptWhere = (matches: (previous: Peer, peer: Peer) => boolean) =>
    kept
      .filter(({previous, peer}) => matches(previous, peer))
      .map(({peer}) => peer.id);
  const change = {
    added: after.peers.map(({id}) => id).filter(id => !old.has(id)),
    removed: before.peers.map(({id}) => id).filter(id => !next.has(id)),
    promoted: keptWhere((previous, peer) => !previous.voter && peer.voter),
    demoted: keptWhere((previous, peer) => previous.voter && !peer.voter),
    altered: keptWhere((previous, peer) => {
      return changedFields(previous, peer, 'voter').length > 0;
    }),
    fields: changedFields(before, after, 'peers'),
  };
  const isEmpty = Object.values(change).every(names => names.length === 0);
  return isEmpty ? undefined : change;
}

/** The parts of a change that are not empty, as fields of a log line. */
export function changeFields(
  change: ConfigurationChange,
): Record<string, string> {
  const parts = Object.entries(change) as [string, readonly string[]][];
  return Object.fromEntries(
    parts
      .filter(([, names]) => names.length > 0)
      .map(([kind, names]) => [kind, names.join(' ')]),
  );
}

/** Ids of the voters of a configuration. */
export function voterIds({peers}: Configuration): string[] {
  return peers.filter(({voter}) => voter).map(({id}) => id);
}

/** Ids of the learners of a configuration. */
export function learnerIds({peers}: Configuration): string[] {
  return peers.filter(({voter}) => !voter).map(({id}) => id);
}

function changedFields<T extends object>(
  before: T,
  after: T,
  except: keyof T,
): string[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  const valueOf = (object: T, name: string) => {
    return JSON.stringify(object[name as keyof T]);
  };
  return [...names].filter(name => {
    return name !== except && valueOf(before, name) !== valueOf(after, name);
  });
}
