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
  /** The version that the write was made against; 0 for none. */
  readonly basis: number;
  readonly values: RowValues | undefined;
}

/** The writes of one transaction on top of the tables. */
export class Transaction {
  private readonly writes = new Map<string, Map<string, PendingWrite>>();
  private readonly created = new Map<string, Table>();
  private rowCount = 0;

  /** The id names rows of tables without a primary key. */
  constructor(
    private readonly store: TableStore,
    private readonly id: string,
  ) {}

  get hasWrites(): boolean {
    return this.writes.size > 0 || this.created.size > 0;
  }

  findTable(name: string): Table | undefined {
    return this.created.get(name) ?? this.store.table(name);
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
    this.created.set(table.name, table);
  }

  /** The rows of a table as this transaction sees them. */
  *rows(name: string): Generator<StoredRow> {
    const pending = this.writes.get(name);
    for (const row of this.table(name).rows.values()) {
      if (!pending?.has(row.key)) yield row;
    }
    for (const [key, {values, basis}] of pending ?? []) {
      if (values) yield {key, values, version: basis};
    }
  }

  /** One row by its key. */
  row(name: string, key: string): StoredRow | undefined {
    const pending = this.writes.get(name)?.get(key);
    if (!pending) return this.table(name).rows.get(key);
    const {values, basis} = pending;
    return values && {key, values, version: basis};
  }

  /** Inserts a row; false where its key is taken. */
  insert(name: string, values: RowValues): boolean {
    const {primaryKey} = this.table(name);
    const key = primaryKey ? String(values[primaryKey]) : this.newKey();
    if (this.row(name, key)) return false;
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
   * What a commit appends to the log. Fails where another transaction has
   * written one of the rows since: the first to commit wins.
   */
  operations(): RowOperation[] {
    const operations: RowOperation[] = [];
    for (const {name, columns, primaryKey} of this.created.values()) {
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
    if (version === write.basis) return;
    if (write.basis === 0) throw uniqueViolation(table, key);
    throw new DatabaseError(
      SERIALIZATION_FAILURE,
      'could not serialize access due to concurrent update',
    );
  }

  private write(name: string, key: string, values: RowValues | undefined) {
    const writes = this.writes.get(name) ?? new Map<string, PendingWrite>();
    const basis =
      writes.get(key)?.basis ?? this.table(name).rows.get(key)?.version ?? 0;
    writes.set(key, {basis, values});
    this.writes.set(name, writes);
  }

  private newKey(): string {
    return `#${this.id}.${++this.rowCount}`;
  }
}

export function uniqueViolation(table: string, key: string): DatabaseError {
  return new DatabaseError(
    UNIQUE_VIOLATION,
    `duplicate key value violates unique constraint "${table}_pkey": ${key}`,
  );
}
