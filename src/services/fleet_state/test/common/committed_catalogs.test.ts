import {beforeEach, describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {FleetState} from '../../../../schema/generated/fleet';
import {encodeCommand} from '../../common/fleet_command';
import {
  FleetStateMachine,
  type LogGuard,
} from '../../common/fleet_state_machine';

/** The content of catalogs that this build cannot read. */
const UNREADABLE = 'unreadable';

let skippedCommands: number[];
let readCount: number;
let machine: FleetStateMachine;

const guard: LogGuard = {
  isReadable: ({source}) => {
    readCount++;
    return !source.toString().startsWith(UNREADABLE);
  },
  onDidSkipCommand: index => skippedCommands.push(index),
};

beforeEach(() => {
  skippedCommands = [];
  readCount = 0;
  machine = new FleetStateMachine(guard);
});

let lastIndex = 0;

const publish = (version: number, content: string, to = machine) => {
  const value = {version, source: Buffer.from(content)};
  to.apply(++lastIndex, encodeCommand({$case: 'publish', value}));
  return to.takeOutcome(lastIndex);
};

const inForce = (of = machine) => {
  const {version, source} = of.catalogInForce;
  return `${version} ${source.toString()}`;
};

// Guards against a catalog in the log that ends one leader after the other.
describe('a committed catalog that cannot be read', () => {
  it('leaves the one before it in force', () => {
    publish(1, 'one');
    publish(2, UNREADABLE);
    publish(3, `${UNREADABLE} too`);
    expect(inForce()).toBe('1 one');
  });

  it('is replaced by its corrected version, or a newer one', () => {
    publish(1, 'one');
    publish(2, UNREADABLE);
    expect(publish(2, 'two')).toBe('in force');
    expect(publish(1, 'one')).toBe('superseded');
    expect(publish(2, 'other')).toBe('conflict');
    publish(3, UNREADABLE);
    publish(4, 'four');
    expect(inForce()).toBe('4 four');
  });

  it('is not part of a snapshot', () => {
    publish(1, 'one');
    publish(2, UNREADABLE);
    const copy = new FleetStateMachine();
    copy.restore(machine.snapshot());
    expect(inForce(copy)).toBe('1 one');
  });

  it('leaves the next version to recover from, if it is all that is left', () => {
    const empty = FleetState.decode(new Uint8Array());
    const state = {...empty, version: 2, source: Buffer.from(UNREADABLE)};
    machine.restore(Buffer.from(FleetState.encode(state).finish()));
    expect(machine.catalogInForce.version).toBe(0);
    expect(publish(3, 'three')).toBe('in force');
    expect(inForce()).toBe('3 three');
  });
});

describe('committed catalogs', () => {
  it('have the same outcomes whenever they are read', () => {
    // Guards against control instances whose states differ.
    for (let seed = 1; seed <= 200; seed++) {
      const random = new SeededRandom(seed);
      const lazy = new FleetStateMachine(guard);
      const eager = new FleetStateMachine(guard);
      for (let step = 0; step < 40; step++) {
        const version = random.integer(1, 12);
        const isReadable = random.integer(0, 2) > 0;
        const content = isReadable ? `${random.integer(1, 2)}` : UNREADABLE;
        const outcomes = [lazy, eager].map(to => publish(version, content, to));
        expect(outcomes[0]).toBe(outcomes[1]);
        void eager.catalogInForce;
      }
      expect(inForce(lazy)).toBe(inForce(eager));
    }
  });

  it('are read only when one is needed', () => {
    for (let version = 1; version <= 10; version++) publish(version, 'x');
    expect(inForce()).toBe('10 x');
    expect(readCount).toBe(1);
  });
});

describe('a committed member whose id is more than a word', () => {
  it('is skipped and reported, also in a snapshot', () => {
    // Guards against statements that members run since they stand in an id.
    const member = {
      instance: 'm1\r\nQUERY x STORE 1 y',
      service: 's',
      address: '10.0.0.1:1',
      site: 'z',
      slots: 2,
      draining: false,
      role: 2,
      born: 1,
      recovering: false,
    };
    machine.apply(7, encodeCommand({$case: 'admit', value: {member}}));
    const good = {...member, instance: 'm2'};
    machine.apply(8, encodeCommand({$case: 'admit', value: {member: good}}));
    const state = FleetState.decode(machine.snapshot());
    const earlier = {...state, members: [...state.members, member]};
    const copy = new FleetStateMachine(guard);
    copy.restore(Buffer.from(FleetState.encode(earlier).finish()));
    expect(machine.members).toEqual([good]);
    expect(copy.members).toEqual([good]);
    expect(skippedCommands).toEqual([7, 0]);
  });
});

describe('a committed command that cannot be decoded', () => {
  it('is skipped and reported, and the next ones are applied', () => {
    // Guards against an entry that ends each instance that applies it.
    publish(1, 'one');
    machine.apply(100, Buffer.from([0xff, 0xff, 0xff]));
    const value = {proxies: 3};
    machine.apply(101, encodeCommand({$case: 'countProxies', value}));
    expect(skippedCommands).toEqual([100]);
    expect(machine.expectedProxyCount).toBe(3);
    expect(inForce()).toBe('1 one');
  });
});
