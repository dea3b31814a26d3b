import {randomInt} from 'node:crypto';
import {createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok, type Result} from '../../base/common/result';
import {settled, spawnTask, type Task} from '../../base/node/task';
import {encodeError} from '../../services/wire/common/backend';
import {FrameConnection} from '../../services/wire/node/frame_connection';
import {TOO_MANY_CONNECTIONS} from '../common/database_error';
import {Session, type SessionDependencies} from './session';

const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** Limits and costs of a member's client connections. */
export interface ConnectionLimits {
  readonly connections: number;
  /** Simulated duration of connecting, in milliseconds. */
  readonly connectionCostMs: number;
}

/** Serves the PostgreSQL protocol for a stand-in member. */
export class DatabaseServer {
  private readonly sessions = new Set<Session>();
  private connectionCount = 0;
  private lastProcessId = 0;
  private readonly server: Server;

  constructor(
    private readonly sessionDependencies: SessionDependencies,
    private readonly limits: ConnectionLimits,
    private readonly signal: AbortSignal,
  ) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Starts listening and returns the bound port. */
  listen(port: number, address: string): Promise<Result<number, Error>> {
    this.signal.addEventListener('abort', () => this.server.close());
    return new Promise(resolve => {
      this.server.once('error', error => resolve(err(error)));
      this.server.listen(port, address, () => {
        const bound = this.server.address();
        resolve(ok(typeof bound === 'object' && bound ? bound.port : port));
      });
    });
  }

  private accept(socket: Socket): void {
    const connection = new FrameConnection(
      socket,
      MAX_FRAME_BYTES,
      this.signal,
    );
    spawnTask('standin session', () => this.acceptStartup(connection));
  }

  private *acceptStartup(connection: FrameConnection): Task<void> {
    for (;;) {
      const input = yield* connection.receive();
      if (input?.kind !== 'startup') return connection.destroy();
      const {packet} = input;
      if (packet.kind === 'startup') break;
      if (packet.kind === 'encryption') Session.refuseEncryption(connection);
      else {
        if (packet.kind === 'cancel') this.cancel(packet.processId, packet.key);
        return connection.end();
      }
    }
    yield* this.runSession(connection);
  }

  private *runSession(connection: FrameConnection): Task<void> {
    if (this.connectionCount >= this.limits.connections) {
      return connection.end(
        encodeError({
          severity: 'FATAL',
          code: TOO_MANY_CONNECTIONS,
          message: 'sorry, too many clients already',
        }),
      );
    }
    this.connectionCount++;
    yield* settled(sleep(this.limits.connectionCostMs));
    const session = new Session(
      connection,
      this.sessionDependencies,
      ++this.lastProcessId,
      randomInt(2 ** 31),
    );
    this.sessions.add(session);
    yield* session.run();
    this.sessions.delete(session);
    this.connectionCount--;
  }

  private cancel(processId: number, key: number): void {
    for (const session of this.sessions) {
      if (session.hasCancelKey(processId, key)) session.cancel();
    }
  }
}
