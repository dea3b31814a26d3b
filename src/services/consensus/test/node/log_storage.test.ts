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

let folder = '';
beforeEach(() => (folder = mkdtempSync(join(tmpdir(), 'log-storage-'))));
afterEach(() => rmSync(folder, {recursive: true}));

function entry(index: number): LogRecord {
  const payload = {$case: 'command' as const, value: Buffer.from(`c${index}`)};
  return {record: {$case: 'entry', value: {index, term: 2, payload}}};
}

/** A folder with a snapshot at 1 and entries 2 to 4, each a frame. */
async function written(): Promise<string> {
  const opened = await LogStorage.open(folder, 'c1');
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

async function reopened() {
  const opened = await LogStorage.open(folder, 'c1');
  if (opened.isErr) return opened.error.kind;
  await opened.value.storage.close();
  const {id, persisted} = opened.value;
  const indexes = persisted?.entries.map(({index}) => index);
  return {id, indexes, votedFor: persisted?.hardState.votedFor};
}

describe('the data folder of a control instance', () => {
  it('gives back what was synced', async () => {
    const id = await written();
    expect(await reopened()).toEqual({id, indexes: [2, 3, 4], votedFor: id});
  });

  // Power fails in the middle of a write. The tail is torn; nothing in it was
  // relied on, since the sync had not come back.
  it('drops a torn tail and goes on', async () => {
    const id = await written();
    const log = join(folder, 'log');
    truncateSync(log, readFileSync(log).length - 3);
    expect(await reopened()).toMatchObject({id, indexes: [2, 3]});
    appendFileSync(log, Buffer.from('bst1 and then rubbish'));
    expect(await reopened()).toMatchObject({id, indexes: [2, 3]});
  });

  // A disk rots in the middle of the file. Dropping all from there on would
  // forget entries that others count as held: the instance must not start.
  it('refuses damage that is no torn tail', async () => {
    await written();
    const log = join(folder, 'log');
    const bytes = readFileSync(log);
    bytes[bytes.indexOf('c2')] = 0x78;
    writeFileSync(log, bytes);
    expect(await reopened()).toBe('damaged');
  });

  it('refuses a folder whose log or snapshot is gone or broken', async () => {
    await written();
    writeFileSync(join(folder, 'snapshot'), 'rubbish');
    expect(await reopened()).toBe('damaged');
    rmSync(join(folder, 'log'));
    expect(await reopened()).toBe('damaged');
  });

  // A disk is replaced. The instance forgot its vote: under its old name it
  // could vote a second time in the same term.
  it('gives an instance that lost its folder a new id', async () => {
    const id = await written();
    rmSync(folder, {recursive: true});
    const again = await reopened();
    expect(again).toMatchObject({indexes: undefined});
    expect((again as {id: string}).id).not.toBe(id);
  });

  it('keeps the vote and later entries through a snapshot', async () => {
    const id = await written();
    const opened = await LogStorage.open(folder, 'c1');
    if (opened.isErr) throw new Error(opened.error.detail);
    const {storage, persisted} = opened.value;
    const snapshot = {...persisted!.snapshot, index: 3, term: 2};
    await storage.install(snapshot, [persisted!.entries[2]!]);
    await storage.close();
    expect(await reopened()).toEqual({id, indexes: [4], votedFor: id});
  });

  // The disk is full: the sync never comes back, so nothing may be promised.
  it('says that it cannot write', async () => {
    await written();
    const opened = await LogStorage.open(folder, 'c1');
    if (opened.isErr) throw new Error(opened.error.detail);
    const {storage} = opened.value;
    await storage.close();
    const failed = await storage.write([entry(5)]);
    expect(failed.isErr && failed.error.kind).toBe('unwritable');
  });
});
