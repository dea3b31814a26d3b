import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {LogRecord} from '../../../../schema/generated/consensus';
import {singlePeerState} from '../../common/initial_state';
import {LogStorage} from '../../node/log_storage';

let directory = '';
beforeEach(() => (directory = mkdtempSync(join(tmpdir(), 'log-storage-'))));
afterEach(() => rmSync(directory, {recursive: true}));

function entry(index: number): LogRecord {
  const payload = {$case: 'command' as const, value: Buffer.from(`c${index}`)};
  return {record: {$case: 'entry', value: {index, term: 2, payload}}};
}

/** Writes a snapshot at 1 and entries 2 to 4, each as a frame. */
async function writeStorage(): Promise<string> {
  const opened = await LogStorage.open(directory, 'c1');
  if (opened.isErr) throw new Error(opened.error.detail);
  const {storage, id} = opened.value;
  const {snapshot} = singlePeerState({id, address: 'a:1', voter: true});
  await storage.install(snapshot, []);
  const hardState = {term: 2, votedFor: id};
  await storage.write([{record: {$case: 'hardState', value: hardState}}]);
  for (const index of [2, 3, 4]) await storage.write([entry(index)]);
  await storage.close();
  return id;
}

async function reopen() {
  const opened = await LogStorage.open(directory, 'c1');
  if (opened.isErr) return opened.error.kind;
  await opened.value.storage.close();
  const {id, persisted} = opened.value;
  const indexes = persisted?.entries.map(({index}) => index);
  return {id, indexes, votedFor: persisted?.hardState.votedFor};
}

describe('LogStorage', () => {
  it('reads what was synced', async () => {
    const id = await writeStorage();
    expect(await reopen()).toEqual({id, indexes: [2, 3, 4], votedFor: id});
  });

  // Guards against a failed start after a power failure during a write.
  it('drops a torn tail, which was never synced', async () => {
    const id = await writeStorage();
    const log = join(directory, 'log');
    truncateSync(log, readFileSync(log).length - 3);
    expect(await reopen()).toMatchObject({id, indexes: [2, 3]});
    appendFileSync(log, Buffer.from('bst1 and then rubbish'));
    expect(await reopen()).toMatchObject({id, indexes: [2, 3]});
  });

  // Guards against dropping synced entries after a damaged frame.
  it('refuses damage other than a torn tail', async () => {
    await writeStorage();
    const log = join(directory, 'log');
    const bytes = readFileSync(log);
    bytes[bytes.indexOf('c2')] = 0x78;
    writeFileSync(log, bytes);
    expect(await reopen()).toBe('damaged');
  });

  it('refuses a missing log and a damaged snapshot', async () => {
    await writeStorage();
    writeFileSync(join(directory, 'snapshot'), 'rubbish');
    expect(await reopen()).toBe('damaged');
    rmSync(join(directory, 'log'));
    expect(await reopen()).toBe('damaged');
  });

  // Guards against a second vote in the same term by an instance whose disk was
  // replaced.
  it('gives an instance that lost its directory a new id', async () => {
    const id = await writeStorage();
    rmSync(directory, {recursive: true});
    const again = await reopen();
    expect(again).toMatchObject({indexes: undefined});
    expect((again as {id: string}).id).not.toBe(id);
  });

  it('keeps the vote and later entries with a snapshot', async () => {
    const id = await writeStorage();
    const opened = await LogStorage.open(directory, 'c1');
    if (opened.isErr) throw new Error(opened.error.detail);
    const {storage, persisted} = opened.value;
    const snapshot = {...persisted!.snapshot, index: 3, term: 2};
    await storage.install(snapshot, [persisted!.entries[2]!]);
    await storage.close();
    expect(await reopen()).toEqual({id, indexes: [4], votedFor: id});
  });

  // Guards against entries that are acknowledged without a sync.
  it('reports a failed write', async () => {
    await writeStorage();
    const opened = await LogStorage.open(directory, 'c1');
    if (opened.isErr) throw new Error(opened.error.detail);
    const {storage} = opened.value;
    await storage.close();
    const failed = await storage.write([entry(5)]);
    expect(failed.isErr && failed.error.kind).toBe('unwritable');
  });
});
