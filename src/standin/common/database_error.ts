/** An error response to a statement; `code` is its SQLSTATE. */
export class DatabaseError extends Error {
  constructor(
    readonly code: string,
    message: string,
  ) {
    super(message);
  }
}

export const SYNTAX_ERROR = '42601';
export const UNDEFINED_TABLE = '42P01';
export const UNDEFINED_COLUMN = '42703';
export const UNDEFINED_FUNCTION = '42883';
export const DUPLICATE_TABLE = '42P07';
export const UNIQUE_VIOLATION = '23505';
export const SERIALIZATION_FAILURE = '40001';
export const READ_ONLY = '25006';
export const FAILED_TRANSACTION = '25P02';
export const FEATURE_NOT_SUPPORTED = '0A000';
export const TOO_MANY_CONNECTIONS = '53300';
export const QUERY_CANCELED = '57014';
export const INVALID_STATEMENT_NAME = '26000';
export const INVALID_PARAMETER = '22023';
