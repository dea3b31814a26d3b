import type {Clock} from '../../../base/common/clock';
import {
  TargetConnection,
  type OpenFailure,
  type TargetLogin,
} from './target_connection';

const LEAST_BACKOFF_MS = 50;
const MOST_BACKOFF_MS = 2_000;

/** What a pool's owner hears. */
export interface PoolListener {
  /** A connection became free. */
  onDidRelease(): void;
  onDidFailToOpen(failure: OpenFailure): void;
}

/**
 * The connections to one run of one target. They are opened ahead of need,
 * off the way of requests, and never more than the cap.
 */
export class TargetPool {
  private idle: TargetConnection[] = [];
  private readonly running = new Set<TargetConnection>();
  private opening = 0;
  private backoffMs = 0;
  private retryAt = 0;
  private demand = 1;

  constructor(
    readonly login: TargetLogin,
    readonly incarnation: string,
    private capacity: number,
    private readonly clock: Clock,
    private readonly listener: PoolListener,
    private readonly signal: AbortSignal,
  ) {
    signal.addEventListener('abort', () => this.closeIdle(), {once: true});
    this.maintain();
  }

  get idleCount(): number {
    return this.idle.length;
  }

  get inUseCount(): number {
    return this.running.size;
  }

  get connectionCount(): number {
    return this.idle.length + this.running.size + this.opening;
  }

  /** The last attempts to open failed. */
  get isFailing(): boolean {
    return this.backoffMs > 0;
  }

  /** Changes the cap; too many connections are closed as they come free. */
  setMaxConnections(capacity: number): void {
    this.capacity = capacity;
    this.trim();
    this.maintain();
  }

  /** Takes a free connection. */
  checkout(): TargetConnection | undefined {
    const connection = this.idle.pop();
    if (!connection) {
      this.demand = this.capacity;
      return undefined;
    }
    this.running.add(connection);
    this.demand = Math.max(this.demand, this.running.size + 1);
    this.maintain();
    return connection;
  }

  /**
   * Gives a connection back; one that is not clean is closed, and so is one
   * of an earlier run of the target, which has another pool.
   */
  release(connection: TargetConnection, clean: boolean): void {
    if (!this.running.delete(connection)) {
      connection.destroy();
      return;
    }
    const keep = clean && !connection.isClosed && !this.signal.aborted;
    if (!keep || this.connectionCount >= this.capacity) {
      connection.destroy();
      this.maintain();
      return;
    }
    this.idle.push(connection);
    this.listener.onDidRelease();
  }

  /** Breaks off everything that runs: its users hear of it at once. */
  destroyInUse(): void {
    for (const connection of this.running) connection.destroy();
  }

  /** Opens what is wanted; called on a timer and after changes. */
  maintain(): void {
    if (this.signal.aborted || this.clock.now() < this.retryAt) return;
    const wanted = Math.min(this.demand, this.capacity);
    while (this.connectionCount < wanted) this.openOne();
  }

  private openOne(): void {
    this.opening++;
    const closed = (connection: TargetConnection) => this.onClosed(connection);
    void TargetConnection.open(this.login, this.signal, closed).then(opened => {
      this.opening--;
      if (opened.isErr) return this.onFailure(opened.error);
      this.backoffMs = 0;
      const connection = opened.value;
      // Another run of the target may hold less than is known of this one.
      const same = connection.incarnation === this.incarnation;
      if (
        !same ||
        this.signal.aborted ||
        this.connectionCount >= this.capacity
      ) {
        connection.destroy();
        return;
      }
      this.idle.push(connection);
      this.listener.onDidRelease();
    });
  }

  private onFailure(failure: OpenFailure): void {
    const doubled = Math.max(LEAST_BACKOFF_MS, this.backoffMs * 2);
    this.backoffMs = Math.min(doubled, MOST_BACKOFF_MS);
    this.retryAt = this.clock.now() + this.backoffMs;
    this.listener.onDidFailToOpen(failure);
  }

  private onClosed(connection: TargetConnection): void {
    const at = this.idle.indexOf(connection);
    if (at >= 0) this.idle.splice(at, 1);
    // A connection that is in use is given back by its user.
  }

  private trim(): void {
    while (this.connectionCount > this.capacity && this.idle.length > 0) {
      this.idle.pop()!.destroy();
    }
  }

  private closeIdle(): void {
    for (const connection of this.idle) connection.destroy();
    this.idle = [];
  }
}
