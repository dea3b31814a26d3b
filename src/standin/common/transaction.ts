import {
  DatabaseError,
  SERIALIZATION_FAILURE,
  UNDEFINED_TABLE,
  UNIQUE_VIOLATION,
} from './database_error';
import type {
  RowOperation,
  RowValues,
  StoredRow,
  Table,
  TableStore,
} from './tables';

interface PendingWrite {
  /** Row version before the write; 0 if there was no row. */
  readonly baseVersion: number;
  readonly values: RowValues | undefined;
}

/** Buffers a transaction's writes until its commit. */
export class Transaction {
  private readonly writes = new Map<string, Map<string, PendingWrite>>();
  private readonly createdTables = new Map<string, Table>();
  private generatedKeyCount = 0;

  /** `keyPrefix` makes generated keys unique across transactions. */
  constructor(
    private readonly store: TableStore,
    private readonly keyPrefix: string,
  ) {}

  get hasWrites(): boolean {
    return this.writes.size > 0 || this.createdTables.size > 0;
  }

  findTable(name: string): Table | undefined {
    return this.createdTables.get(name) ?? this.store.table(name);
  }

  table(name: string): Table {
    const table = this.findTable(name);
    if (table) return table;
    throw new DatabaseError(
      UNDEFINED_TABLE,
      `relation "${name}" does not exist`,
    );
  }

  create(table: Table): void {
    this.createdTables.set(table.name, table);
  }

  /** Yields the rows of a table, including this transaction's writes. */
  *rows(name: string): Generator<StoredRow> {
    const pending = this.writes.get(name);
    for (const row of this.table(name).rows.values()) {
      if (!pending?.has(row.key)) yield row;
    }
    for (const [key, {values, baseVersion}] of pending ?? []) {
      if (values) yield {key, values, version: baseVersion};
    }
  }

  findRow(name: string, key: string): StoredRow | undefined {
    const pending = this.writes.get(name)?.get(key);
    if (!pending) return this.table(name).rows.get(key);
    const {values, baseVersion} = pending;
    return values && {key, values, version: baseVersion};
  }

  /** Inserts a row; returns false if its key already exists. */
  insert(name: string, values: RowValues): boolean {
    const {primaryKey} = this.table(name);
    const key = primaryKey ? String(values[primaryKey]) : this.generateKey();
    if (this.findRow(name, key)) return false;
    this.write(name, key, values);
    return true;
  }

  update(name: string, key: string, values: RowValues): void {
    this.write(name, key, values);
  }

  delete(name: string, key: string): void {
    this.write(name, key, undefined);
  }

  /**
   * Returns the operations that a commit appends to the log. Throws if another
   * transaction has since committed a write to one of the rows.
   */
  buildOperations(): RowOperation[] {
    const operations: RowOperation[] = [];
    for (const {name, columns, primaryKey} of this.createdTables.values()) {
      operations.push({kind: 'create', table: name, columns, primaryKey});
    }
    for (const [table, writes] of this.writes) {
      for (const [key, write] of writes) {
        this.checkConflict(table, key, write);
        const {values} = write;
        if (values) operations.push({kind: 'put', table, key, values});
        else operations.push({kind: 'delete', table, key});
      }
    }
    return operations;
  }

  private checkConflict(table: string, key: string, write: PendingWrite) {
    const version = this.store.table(table)?.rows.get(key)?.version ?? 0;
    if (version === write.baseVersion) return;
    if (write.baseVersion === 0) throw uniqueViolationError(table, key);
    throw new DatabaseError(
      SERIALIZATION_FAILURE,
      'could not serialize access due to concurrent update',
    );
  }

  private write(name: string, key: string, values: RowValues | undefined) {
    const writes = this.writes.get(name) ?? new Map<string, PendingWrite>();
    const baseVersion =
      writes.get(key)?.baseVersion ??
      this.table(name).rows.get(key)?.version ??
      0;
    writes.set(key, {baseVersion, values});
    this.writes.set(name, writes);
  }

  private generateKey(): string {
    return `#${this.keyPrefix}.${++this.generatedKeyCount}`;
  }
}

/** Creates the error for an insert whose key already exists. */
export function uniqueViolationError(
  table: string,
  key: string,
): DatabaseError {
  return new DatabaseError(
    UNIQUE_VIOLATION,
    `duplicate key value violates unique constraint "${table}_pkey": ${key}`,
  );
}
