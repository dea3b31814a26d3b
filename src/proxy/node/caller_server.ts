import {randomInt} from 'node:crypto';
import {createServer, type Server, type Socket} from 'node:net';
import {callerName, serviceName} from '../../base/common/ids';
import {err, ok, type Result} from '../../base/common/result';
import type {Log} from '../../base/node/log';
import {spawnTask, type Task} from '../../base/node/task';
import {after, createChildController, every} from '../../base/node/timers';
import {Classifier} from '../../services/sql/common/classifier';
import type {SqlGrammar} from '../../services/sql/common/syntax_tree';
import {
  parseStartupOptions,
  SessionState,
} from '../../services/session/common/session_state';
import type {Settings} from '../../services/settings/common/settings';
import {
  AUTHENTICATION_OK,
  encodeError,
  encodeBackendKeyData,
  encodeParameterStatus,
  encodeReadyForQuery,
  type Diagnostic,
} from '../../services/wire/common/backend';
import {FrameConnection} from '../../services/wire/node/frame_connection';
import {fatalError, NOT_RUN_SHUTTING_DOWN} from '../common/diagnostics';
import {CallerSession} from './caller_session';
import type {ProxyServices} from './proxy_services';
import {SessionMeter, type RequestMeter} from './request_meter';

const ENCRYPTION_REFUSED = Buffer.from('N');
const TOO_MANY_CONNECTIONS = '53300';
const INVALID_PARAMETER_VALUE = '22023';
const INVALID_CATALOG_NAME = '3D000';
const PROTOCOL_VIOLATION = '08P01';
const DRAIN_CHECK_INTERVAL_MS = 20;

const SERVER_PARAMETERS: readonly [string, string][] = [
  ['server_version', '16.0 (bulrushstage)'],
  ['client_encoding', 'UTF8'],
  ['DateStyle', 'ISO, MDY'],
  ['integer_datetimes', 'on'],
  ['standard_conforming_strings', 'on'],
];

/** Dependencies of the server; settings() gives the current ones. */
export interface CallerServerDependencies {
  readonly services: ProxyServices;
  readonly grammar: SqlGrammar;
  readonly meter: RequestMeter;
  readonly log: Log;
  settings(): Settings;
}

interface OpenSession {
  readonly session: CallerSession;
  readonly processId: number;
  readonly secret: number;
}

/** Accepts callers' connections and runs a session task for each. */
export class CallerServer {
  private readonly server: Server;
  private readonly classifier: Classifier;
  private readonly sessions = new Map<number, OpenSession>();
  private readonly controller: AbortController;
  private lastProcessId = 0;
  private connectionCount = 0;
  private isStopping = false;

  constructor(
    private readonly dependencies: CallerServerDependencies,
    signal: AbortSignal,
  ) {
    this.controller = createChildController(signal);
    this.classifier = new Classifier(dependencies.grammar);
    this.server = createServer(socket => this.accept(socket));
  }

  get sessionCount(): number {
    return this.sessions.size;
  }

  listen(port: number, host: string): Promise<Result<void, Error>> {
    return new Promise(resolve => {
      this.server.once('error', error => resolve(err(error)));
      this.server.listen(port, host, () => resolve(ok(undefined)));
    });
  }

  /**
   * Stops accepting sessions, ends idle ones at once and waits up to the drain
   * time of the settings for open transactions. Closes what is left.
   */
  async drain(): Promise<void> {
    this.isStopping = true;
    this.server.close();
    const {drainMs} = this.dependencies.settings().proxy;
    const {log} = this.dependencies;
    const busy = [...this.sessions.values()].filter(({session}) => {
      return !session.isIdle;
    });
    log.info('Draining.', {sessions: this.sessions.size, busy: busy.length});
    for (const {session} of this.sessions.values()) session.stop();
    await this.waitForSessions(drainMs);
    const left = this.sessions.size;
    if (left > 0) log.warn('Closed sessions after the drain time.', {left});
    else log.info('Drained.', {waitedFor: busy.length});
    this.controller.abort();
  }

  private waitForSessions(maxWaitMs: number): Promise<void> {
    return new Promise(resolve => {
      const checks = createChildController(this.controller.signal);
      const end = () => {
        checks.abort();
        resolve();
      };
      after(checks.signal, maxWaitMs, end);
      every(checks.signal, DRAIN_CHECK_INTERVAL_MS, () => {
        if (this.sessions.size === 0) end();
      });
    });
  }

  private accept(socket: Socket): void {
    const {frameBytes} = this.dependencies.settings().proxy;
    const {signal} = this.controller;
    const connection = new FrameConnection(socket, frameBytes, signal);
    spawnTask('session', () => this.serve(connection));
  }

  private *serve(connection: FrameConnection): Task<void> {
    for (;;) {
      const incoming = yield* connection.receive();
      if (incoming?.kind === 'error') {
        return this.reject(connection, PROTOCOL_VIOLATION, incoming.reason);
      }
      if (incoming?.kind !== 'startup') return connection.destroy();
      const {packet} = incoming;
      switch (packet.kind) {
        case 'startup':
          return yield* this.serveSession(connection, packet.parameters);
        case 'encryption':
          connection.send(ENCRYPTION_REFUSED);
          break;
        case 'cancel':
          this.cancel(packet.processId, packet.key);
          return connection.end();
        case 'invalid':
          return this.reject(connection, PROTOCOL_VIOLATION, packet.reason);
      }
    }
  }

  private *serveSession(
    connection: FrameConnection,
    parameters: ReadonlyMap<string, string>,
  ): Task<void> {
    const {callers} = this.dependencies.settings().proxy;
    if (this.isStopping) {
      const message = 'not run: the proxy is shutting down';
      return this.reject(connection, NOT_RUN_SHUTTING_DOWN, message);
    }
    if (this.connectionCount >= callers) {
      const message = 'not run: too many callers';
      return this.reject(connection, TOO_MANY_CONNECTIONS, message);
    }
    this.connectionCount++;
    yield* this.runSession(connection, parameters);
    this.connectionCount--;
  }

  private *runSession(
    connection: FrameConnection,
    parameters: ReadonlyMap<string, string>,
  ): Task<void> {
    const caller = callerName(parameters.get('user') ?? '');
    const service = serviceName(parameters.get('database') ?? caller);
    const router = this.dependencies.services.router(service);
    if (!router) {
      const message = `service "${service}" does not exist`;
      return this.reject(connection, INVALID_CATALOG_NAME, message);
    }
    const state = new SessionState();
    const error = this.applyStartupParameters(state, parameters);
    if (error) return connection.end(encodeError(error));
    const {clock} = this.dependencies.services;
    const session = new CallerSession(
      {
        caller,
        service,
        connection,
        state,
        preparedStatements: new Map(),
        router,
        classifier: this.classifier,
        clock,
        meter: new SessionMeter(this.dependencies.meter, service, caller),
        connectedAt: clock.now(),
        classes: () => this.dependencies.settings().classes,
      },
      () => {
        const {services} = this.dependencies.settings();
        return services.get(service)?.idleTransactionMs ?? 0;
      },
    );
    const processId = ++this.lastProcessId;
    const secret = randomInt(2 ** 31);
    this.sessions.set(processId, {session, processId, secret});
    this.sendStartupReply(connection, processId, secret);
    yield* session.run();
    this.sessions.delete(processId);
  }

  private applyStartupParameters(
    state: SessionState,
    parameters: ReadonlyMap<string, string>,
  ): Diagnostic | undefined {
    const classes = new Set(this.dependencies.settings().classes.keys());
    const options = parseStartupOptions(parameters.get('options') ?? '');
    for (const [name, value] of [...parameters, ...options]) {
      if (!SessionState.isProxyVariable(name)) continue;
      const invalid = state.setProxyVariable(name, value, classes);
      if (invalid) return fatalError(INVALID_PARAMETER_VALUE, invalid.message);
    }
    return undefined;
  }

  private sendStartupReply(
    connection: FrameConnection,
    processId: number,
    secret: number,
  ): void {
    connection.send(
      Buffer.concat([
        AUTHENTICATION_OK,
        ...SERVER_PARAMETERS.map(([name, value]) =>
          encodeParameterStatus(name, value),
        ),
        encodeBackendKeyData(processId, secret),
        encodeReadyForQuery('idle'),
      ]),
    );
  }

  private cancel(processId: number, key: number): void {
    const openSession = this.sessions.get(processId);
    if (openSession?.secret === key) openSession.session.cancel();
  }

  private reject(
    connection: FrameConnection,
    code: string,
    message: string,
  ): void {
    connection.end(encodeError(fatalError(code, message)));
  }
}
