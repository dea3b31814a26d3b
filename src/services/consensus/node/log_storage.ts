import {open, mkdir, readFile, rename, type FileHandle} from 'node:fs/promises';
import {join} from 'node:path';
import {toError} from '../../../base/common/errors';
import {err, ok, type Result} from '../../../base/common/result';
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

/** Why a data directory cannot be used. */
export interface StorageFailure {
  readonly kind: 'damaged' | 'unreadable' | 'unwritable';
  readonly detail: string;
}

/** Content of an opened data directory. */
export interface OpenedStorage {
  readonly storage: LogStorage;
  /** Id of the instance; a new one if the directory was empty. */
  readonly id: string;
  /** Undefined if the directory was empty. */
  readonly persisted: PersistedState | undefined;
}

/**
 * The log on disk: one snapshot and one file of framed records.
 *
 * Guard: an instance that lost its directory gets a new id, under which it is
 * no voter. With the old id it could vote twice in a term, and so elect a
 * second leader.
 */
export class LogStorage {
  private hardState: HardState = {term: 0, votedFor: ''};

  private constructor(
    private readonly directory: string,
    private file: FileHandle,
  ) {}

  /**
   * Opens a data directory, which is created if it is missing. An empty one
   * starts with the initial snapshot, if any, and the id of an initial peer.
   */
  static async open(
    directory: string,
    instance: string,
    initial?: Snapshot,
  ): Promise<Result<OpenedStorage, StorageFailure>> {
    try {
      await mkdir(directory, {recursive: true});
      const known = await readIfExists(join(directory, IDENTITY_FILE));
      if (!known) {
        return ok(await LogStorage.create(directory, instance, initial));
      }
      return await LogStorage.recover(directory, known.toString().trim());
    } catch (thrown) {
      return err({kind: 'unreadable', detail: toError(thrown).message});
    }
  }

  private static async create(
    directory: string,
    instance: string,
    initial: Snapshot | undefined,
  ): Promise<OpenedStorage> {
    // The global `crypto` is loaded on first use, which only new directories
    // need; an import would delay every start.
    const random = Buffer.from(crypto.getRandomValues(new Uint8Array(4)));
    const newId = `${instance}#${random.toString('hex')}`;
    const id = initial ? initialPeerId(instance) : newId;
    const log = join(directory, LOG_FILE);
    await replaceFile(directory, LOG_FILE, Buffer.alloc(0));
    if (initial) {
      const bytes = Snapshot.encode(initial).finish();
      await replaceFile(directory, SNAPSHOT_FILE, encodeFrame(bytes));
    }
    // The identity is written last and marks the directory as complete.
    await replaceFile(directory, IDENTITY_FILE, Buffer.from(`${id}\n`));
    const storage = new LogStorage(directory, await open(log, 'a'));
    const hardState = {term: initial?.term ?? 0, votedFor: ''};
    const persisted = initial && {hardState, snapshot: initial, entries: []};
    return {storage, id, persisted};
  }

  private static async recover(
    directory: string,
    id: string,
  ): Promise<Result<OpenedStorage, StorageFailure>> {
    const snapshotBytes = await readIfExists(join(directory, SNAPSHOT_FILE));
    const bytes = await readIfExists(join(directory, LOG_FILE));
    if (!bytes) return damagedFailure('the log file is missing');
    const scan = scanFrames(bytes);
    if (scan.damagedOffset !== undefined) {
      return damagedFailure(
        `the log file has a wrong checksum at byte ${scan.damagedOffset}`,
      );
    }
    const snapshot = snapshotBytes && readSnapshot(snapshotBytes);
    if (snapshotBytes && !snapshot) {
      return damagedFailure('the snapshot file has a wrong checksum');
    }
    const replayed = snapshot && replay(scan.payloads, snapshot);
    const file = await open(join(directory, LOG_FILE), 'r+');
    await file.truncate(scan.validBytes);
    await file.sync();
    await file.close();
    const storage = new LogStorage(
      directory,
      await open(join(directory, LOG_FILE), 'a'),
    );
    if (!replayed) return ok({storage, id, persisted: undefined});
    const {hardState, entries} = replayed;
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
    remaining: readonly LogEntry[],
  ): Promise<Result<void, StorageFailure>> {
    const records: LogRecord[] = [
      {record: {$case: 'hardState', value: this.hardState}},
      ...remaining.map(entry => ({
        record: {$case: 'entry' as const, value: entry},
      })),
    ];
    try {
      const bytes = Snapshot.encode(snapshot).finish();
      // The snapshot is written first. Entries that it covers are skipped, but
      // a log without them would have a gap.
      await replaceFile(this.directory, SNAPSHOT_FILE, encodeFrame(bytes));
      const log = encodeFrame(encodeRecords(records));
      await replaceFile(this.directory, LOG_FILE, log);
      await this.file.close();
      this.file = await open(join(this.directory, LOG_FILE), 'a');
      return ok(undefined);
    } catch (thrown) {
      return err({kind: 'unwritable', detail: toError(thrown).message});
    }
  }

  async close(): Promise<void> {
    await this.file.close();
  }
}

function damagedFailure(detail: string): Result<OpenedStorage, StorageFailure> {
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
  let offset = 0;
  while (offset < payload.length) {
    const end = offset + 4 + payload.readUInt32BE(offset);
    records.push(LogRecord.decode(payload.subarray(offset + 4, end)));
    offset = end;
  }
  return records;
}

function replay(payloads: readonly Buffer[], snapshot: Snapshot) {
  let hardState: HardState = {term: snapshot.term, votedFor: ''};
  const entries: LogEntry[] = [];
  for (const {record} of payloads.flatMap(decodeRecords)) {
    if (record?.$case === 'hardState') hardState = record.value;
    if (record?.$case === 'truncateFrom') truncateFrom(entries, record.value);
    if (record?.$case === 'entry' && record.value.index > snapshot.index) {
      entries.push(record.value);
    }
  }
  return {hardState, entries};
}

function truncateFrom(entries: LogEntry[], index: number): void {
  const first = entries.findIndex(entry => entry.index >= index);
  if (first >= 0) entries.length = first;
}

async function readIfExists(path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (thrown) {
    const {code} = thrown as NodeJS.ErrnoException;
    if (code === 'ENOENT') return undefined;
    throw thrown;
  }
}

async function replaceFile(
  directory: string,
  name: string,
  bytes: Uint8Array,
): Promise<void> {
  const path = join(directory, name);
  const file = await open(`${path}.new`, 'w');
  await file.writeFile(bytes);
  await file.sync();
  await file.close();
  await rename(`${path}.new`, path);
  const parent = await open(directory, 'r');
  await parent.sync();
  await parent.close();
}
