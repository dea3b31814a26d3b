import type {Clock} from '../../../base/common/clock';
import {detach} from '../../../base/node/broken_invariant';
import {
  TargetConnection,
  type OpenFailure,
  type TargetLogin,
} from './target_connection';

const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

/** Receives the events of a pool. */
export interface PoolListener {
  /** A connection became idle. */
  onDidRelease(): void;
  onDidFailToOpen(failure: OpenFailure): void;
}

/**
 * The connections to one incarnation of one target. Opens them in the
 * background ahead of demand, up to a maximum.
 */
export class TargetPool {
  private idle: TargetConnection[] = [];
  private readonly inUse = new Set<TargetConnection>();
  private openingCount = 0;
  private backoffMs = 0;
  private retryAt = 0;
  /** Number of connections to keep open. */
  private demand = 1;

  constructor(
    readonly login: TargetLogin,
    readonly incarnation: string,
    private maxConnections: number,
    private readonly clock: Clock,
    private readonly listener: PoolListener,
    private readonly signal: AbortSignal,
  ) {
    signal.addEventListener('abort', () => this.destroyIdle(), {once: true});
    this.maintain();
  }

  get idleCount(): number {
    return this.idle.length;
  }

  get inUseCount(): number {
    return this.inUse.size;
  }

  /** Number of connections that are idle, in use or being opened. */
  get connectionCount(): number {
    return this.idle.length + this.inUse.size + this.openingCount;
  }

  /** Whether the last connection attempts failed. */
  get isFailing(): boolean {
    return this.backoffMs > 0;
  }

  /** Closes excess connections at once where idle, others on release. */
  setMaxConnections(maxConnections: number): void {
    this.maxConnections = maxConnections;
    this.trim();
    this.maintain();
  }

  /** Takes an idle connection; undefined where there is none. */
  checkout(): TargetConnection | undefined {
    const connection = this.idle.pop();
    if (!connection) {
      this.demand = this.maxConnections;
      return undefined;
    }
    this.inUse.add(connection);
    this.demand = Math.max(this.demand, this.inUse.size + 1);
    this.maintain();
    return connection;
  }

  /**
   * Puts a connection back. Closes it where it is not clean, or where it is of
   * an earlier incarnation, which has a pool of its own.
   */
  release(connection: TargetConnection, isClean: boolean): void {
    if (!this.inUse.delete(connection)) {
      connection.destroy();
      return;
    }
    const canKeep = isClean && !connection.isClosed && !this.signal.aborted;
    if (!canKeep || this.connectionCount >= this.maxConnections) {
      connection.destroy();
      this.maintain();
      return;
    }
    this.idle.push(connection);
    this.listener.onDidRelease();
  }

  /** Closes all connections in use; their users are notified. */
  destroyInUse(): void {
    for (const connection of this.inUse) connection.destroy();
  }

  /** Opens missing connections; called on a timer and after changes. */
  maintain(): void {
    if (this.signal.aborted || this.clock.now() < this.retryAt) return;
    const wanted = Math.min(this.demand, this.maxConnections);
    while (this.connectionCount < wanted) this.openOne();
  }

  private openOne(): void {
    this.openingCount++;
    const onDidClose = (closed: TargetConnection) => this.onDidClose(closed);
    detach(
      'connection to a target',
      TargetConnection.open(this.login, this.signal, onDidClose).then(
        opened => {
          this.openingCount--;
          if (opened.isErr) return this.onDidFailToOpen(opened.error);
          this.backoffMs = 0;
          const connection = opened.value;
          // Another incarnation may have lost data that this one had.
          const isSame = connection.incarnation === this.incarnation;
          if (
            !isSame ||
            this.signal.aborted ||
            this.connectionCount >= this.maxConnections
          ) {
            connection.destroy();
            return;
          }
          this.idle.push(connection);
          this.listener.onDidRelease();
        },
      ),
    );
  }

  private onDidFailToOpen(failure: OpenFailure): void {
    const doubledMs = Math.max(MIN_BACKOFF_MS, this.backoffMs * 2);
    this.backoffMs = Math.min(doubledMs, MAX_BACKOFF_MS);
    this.retryAt = this.clock.now() + this.backoffMs;
    this.listener.onDidFailToOpen(failure);
  }

  private onDidClose(connection: TargetConnection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    // A connection in use is released by its user.
  }

  private trim(): void {
    while (this.connectionCount > this.maxConnections && this.idle.length > 0) {
      this.idle.pop()!.destroy();
    }
  }

  private destroyIdle(): void {
    for (const connection of this.idle) connection.destroy();
    this.idle = [];
  }
}
