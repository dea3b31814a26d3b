import {open, mkdir, readFile, rename, type FileHandle} from 'node:fs/promises';
import {join} from 'node:path';
import {err, ok, type Result} from '../../../base/common/outcome';
import {toError} from '../../../base/node/task';
import {
  LogRecord,
  Snapshot,
  type HardState,
  type LogEntry,
} from '../../../schema/generated/consensus';
import type {PersistedState} from '../common/consensus_types';
import {initialPeerId} from '../common/initial_state';
import {encodeFrame, scanFrames} from './frames';

const IDENTITY_FILE = 'identity';
const LOG_FILE = 'log';
const SNAPSHOT_FILE = 'snapshot';

/** Why a data folder cannot be used. */
export interface StorageFailure {
  readonly kind: 'damaged' | 'unreadable' | 'unwritable';
  readonly detail: string;
}

/** What an opened data folder says. */
export interface OpenedStorage {
  readonly storage: LogStorage;
  /** Instance and incarnation; new where the folder was empty. */
  readonly id: string;
  /** Undefined where the folder was empty. */
  readonly persisted: PersistedState | undefined;
}

/**
 * The control log on disk: one snapshot and one file of framed records.
 *
 * A folder that was lost gives a new incarnation. Guard: an instance that
 * forgot its vote could vote twice in a term, and two leaders would share it;
 * under a new id it is no voter until the log takes it in again.
 */
export class LogStorage {
  private hardState: HardState = {term: 0, votedFor: ''};

  private constructor(
    private readonly folder: string,
    private file: FileHandle,
  ) {}

  /**
   * Opens a data folder, making it where it is missing. An empty one begins
   * with the founding snapshot, if there is one, under the founder's id.
   */
  static async open(
    folder: string,
    instance: string,
    founding?: Snapshot,
  ): Promise<Result<OpenedStorage, StorageFailure>> {
    try {
      await mkdir(folder, {recursive: true});
      const known = await readIfThere(join(folder, IDENTITY_FILE));
      if (!known) {
        return ok(await LogStorage.create(folder, instance, founding));
      }
      return await LogStorage.recover(folder, known.toString().trim());
    } catch (thrown) {
      return err({kind: 'unreadable', detail: toError(thrown).message});
    }
  }

  private static async create(
    folder: string,
    instance: string,
    founding: Snapshot | undefined,
  ): Promise<OpenedStorage> {
    // The global loads its module with its first use: importing it cost 3 to
    // 5 ms of each start, and only new folders need it.
    const random = Buffer.from(crypto.getRandomValues(new Uint8Array(4)));
    const fresh = `${instance}#${random.toString('hex')}`;
    const id = founding ? initialPeerId(instance) : fresh;
    const log = join(folder, LOG_FILE);
    await replaceFile(folder, LOG_FILE, Buffer.alloc(0));
    if (founding) {
      const bytes = Snapshot.encode(founding).finish();
      await replaceFile(folder, SNAPSHOT_FILE, encodeFrame(bytes));
    }
    // The identity last: with it the folder is whole.
    await replaceFile(folder, IDENTITY_FILE, Buffer.from(`${id}\n`));
    const storage = new LogStorage(folder, await open(log, 'a'));
    const hardState = {term: founding?.term ?? 0, votedFor: ''};
    const persisted = founding && {hardState, snapshot: founding, entries: []};
    return {storage, id, persisted};
  }

  private static async recover(
    folder: string,
    id: string,
  ): Promise<Result<OpenedStorage, StorageFailure>> {
    const snapshotBytes = await readIfThere(join(folder, SNAPSHOT_FILE));
    const bytes = await readIfThere(join(folder, LOG_FILE));
    if (!bytes) return damaged('the log file is missing');
    const scan = scanFrames(bytes);
    if (scan.damagedAt !== undefined) {
      return damaged(`log file, byte ${scan.damagedAt}: checksum differs`);
    }
    const snapshot = snapshotBytes && readSnapshot(snapshotBytes);
    if (snapshotBytes && !snapshot) {
      return damaged('snapshot file: checksum differs');
    }
    const file = await open(join(folder, LOG_FILE), 'r+');
    await file.truncate(scan.validBytes);
    await file.sync();
    await file.close();
    const storage = new LogStorage(
      folder,
      await open(join(folder, LOG_FILE), 'a'),
    );
    if (!snapshot) return ok({storage, id, persisted: undefined});
    const {hardState, entries} = replay(scan.payloads, snapshot);
    storage.hardState = hardState;
    return ok({storage, id, persisted: {hardState, snapshot, entries}});
  }

  /** Appends records as one frame and syncs them. */
  async write(
    records: readonly LogRecord[],
  ): Promise<Result<void, StorageFailure>> {
    for (const {record} of records) {
      if (record?.$case === 'hardState') this.hardState = record.value;
    }
    try {
      await this.file.appendFile(encodeFrame(encodeRecords(records)));
      await this.file.datasync();
      return ok(undefined);
    } catch (thrown) {
      return err({kind: 'unwritable', detail: toError(thrown).message});
    }
  }

  /** Replaces the log by a snapshot and the entries after it. */
  async install(
    snapshot: Snapshot,
    kept: readonly LogEntry[],
  ): Promise<Result<void, StorageFailure>> {
    const records: LogRecord[] = [
      {record: {$case: 'hardState', value: this.hardState}},
      ...kept.map(entry => ({
        record: {$case: 'entry' as const, value: entry},
      })),
    ];
    try {
      const bytes = Snapshot.encode(snapshot).finish();
      // The snapshot first: a log without the entries that it covers would
      // have a gap, while entries that it covers twice are passed over.
      await replaceFile(this.folder, SNAPSHOT_FILE, encodeFrame(bytes));
      const log = encodeFrame(encodeRecords(records));
      await replaceFile(this.folder, LOG_FILE, log);
      await this.file.close();
      this.file = await open(join(this.folder, LOG_FILE), 'a');
      return ok(undefined);
    } catch (thrown) {
      return err({kind: 'unwritable', detail: toError(thrown).message});
    }
  }

  async close(): Promise<void> {
    await this.file.close();
  }
}

function damaged(detail: string): Result<OpenedStorage, StorageFailure> {
  return err({kind: 'damaged', detail});
}

function readSnapshot(bytes: Buffer): Snapshot | undefined {
  const [payload] = scanFrames(bytes).payloads;
  return payload && Snapshot.decode(payload);
}

function encodeRecords(records: readonly LogRecord[]): Buffer {
  const parts = records.map(record => {
    const bytes = LogRecord.encode(record).finish();
    const length = Buffer.alloc(4);
    length.writeUInt32BE(bytes.length);
    return Buffer.concat([length, bytes]);
  });
  return Buffer.concat(parts);
}

function decodeRecords(payload: Buffer): LogRecord[] {
  const records: LogRecord[] = [];
  let at = 0;
  while (at < payload.length) {
    const end = at + 4 + payload.readUInt32BE(at);
    records.push(LogRecord.decode(payload.subarray(at + 4, end)));
    at = end;
  }
  return records;
}

function replay(payloads: readonly Buffer[], snapshot: Snapshot) {
  let hardState: HardState = {term: snapshot.term, votedFor: ''};
  const entries: LogEntry[] = [];
  for (const {record} of payloads.flatMap(decodeRecords)) {
    if (record?.$case === 'hardState') hardState = record.value;
    if (record?.$case === 'truncateFrom') dropFrom(entries, record.value);
    if (record?.$case === 'entry' && record.value.index > snapshot.index) {
      entries.push(record.value);
    }
  }
  return {hardState, entries};
}

function dropFrom(entries: LogEntry[], index: number): void {
  const first = entries.findIndex(entry => entry.index >= index);
  if (first >= 0) entries.length = first;
}

async function readIfThere(path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (thrown) {
    const {code} = thrown as NodeJS.ErrnoException;
    if (code === 'ENOENT') return undefined;
    throw thrown;
  }
}

async function replaceFile(
  folder: string,
  name: string,
  bytes: Uint8Array,
): Promise<void> {
  const path = join(folder, name);
  const file = await open(`${path}.new`, 'w');
  await file.writeFile(bytes);
  await file.sync();
  await file.close();
  await rename(`${path}.new`, path);
  const directory = await open(folder, 'r');
  await directory.sync();
  await directory.close();
}
