export type Value = string | number | boolean | null;

/** Values of a row, keyed by column name. */
export type RowValues = Readonly<Record<string, Value>>;

/** Storage type of a column; integers and floats are both numbers. */
export type ColumnType = 'text' | 'number' | 'boolean';

export interface TableColumn {
  readonly name: string;
  readonly type: ColumnType;
}

/** A change of one row or table, as recorded in the log. */
export type RowOperation =
  | {
      readonly kind: 'create';
      readonly table: string;
      readonly columns: readonly TableColumn[];
      readonly primaryKey: string | null;
    }
  | {
      readonly kind: 'put';
      readonly table: string;
      readonly key: string;
      readonly values: RowValues;
    }
  | {readonly kind: 'delete'; readonly table: string; readonly key: string};

/** A row with the log offset of its last write as its version. */
export interface StoredRow {
  readonly key: string;
  readonly values: RowValues;
  readonly version: number;
}

/** A table definition with its committed rows by key. */
export interface Table {
  readonly name: string;
  readonly columns: readonly TableColumn[];
  readonly primaryKey: string | null;
  readonly rows: Map<string, StoredRow>;
}

/** The tables of a member, built by applying its log. */
export class TableStore {
  private tables = new Map<string, Table>();

  table(name: string): Table | undefined {
    return this.tables.get(name);
  }

  clear(): void {
    this.tables.clear();
  }

  apply(offset: number, operations: readonly RowOperation[]): void {
    for (const operation of operations) this.applyOperation(offset, operation);
  }

  private applyOperation(offset: number, operation: RowOperation): void {
    if (operation.kind === 'create') {
      const {table: name, columns, primaryKey} = operation;
      this.tables.set(name, {name, columns, primaryKey, rows: new Map()});
      return;
    }
    const rows = this.tables.get(operation.table)?.rows;
    if (operation.kind === 'delete') {
      rows?.delete(operation.key);
      return;
    }
    const {key, values} = operation;
    rows?.set(key, {key, values, version: offset});
  }
}
