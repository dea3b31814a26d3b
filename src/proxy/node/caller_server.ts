import {randomInt} from 'node:crypto';
import {createServer, type Server, type Socket} from 'node:net';
import {callerName, serviceName} from '../../base/common/ids';
import type {Log} from '../../base/node/log';
import {startTask, type Task} from '../../base/node/task';
import {after, childController, every} from '../../base/node/timers';
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
import {fatal, NOT_RUN_SHUTTING_DOWN} from '../common/diagnostics';
import {CallerSession} from './caller_session';
import type {ProxyServices} from './proxy_services';
import {SessionMeter, type RequestMeter} from './request_meter';

const REFUSED_ENCRYPTION = Buffer.from('N');
const TOO_MANY_CALLERS = '53300';
const INVALID_PARAMETER = '22023';
const UNKNOWN_SERVICE = '3D000';
const PROTOCOL_VIOLATION = '08P01';
const DRAIN_CHECK_MS = 20;

const PARAMETERS: readonly [string, string][] = [
  ['server_version', '16.0 (bulrushstage)'],
  ['client_encoding', 'UTF8'],
  ['DateStyle', 'ISO, MDY'],
  ['integer_datetimes', 'on'],
  ['standard_conforming_strings', 'on'],
];

/** What the server is built on. */
export interface CallerSurroundings {
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

/** Takes callers' connections; each becomes a session task. */
export class CallerServer {
  private readonly server: Server;
  private readonly classifier: Classifier;
  private readonly sessions = new Map<number, OpenSession>();
  private readonly controller: AbortController;
  private lastProcessId = 0;
  private connections = 0;
  private stopping = false;

  constructor(
    private readonly around: CallerSurroundings,
    signal: AbortSignal,
  ) {
    this.controller = childController(signal);
    this.classifier = new Classifier(around.grammar);
    this.server = createServer(socket => this.accept(socket));
  }

  get sessionCount(): number {
    return this.sessions.size;
  }

  listen(port: number, host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /**
   * Graceful stop: no new sessions, idle ones end at once, transactions in
   * progress run to their end for as long as the settings allow.
   */
  async drain(): Promise<void> {
    this.stopping = true;
    this.server.close();
    const {drainMs} = this.around.settings().proxy;
    const {log} = this.around;
    const busy = [...this.sessions.values()].filter(({session}) => {
      return !session.isIdle;
    });
    log.info('Draining.', {sessions: this.sessions.size, busy: busy.length});
    for (const {session} of this.sessions.values()) session.stop();
    await this.allEnded(drainMs);
    const left = this.sessions.size;
    if (left > 0) log.warn('Cut sessions after the drain time.', {left});
    else log.info('Drained.', {waitedFor: busy.length});
    this.controller.abort();
  }

  private allEnded(mostMs: number): Promise<void> {
    return new Promise(resolve => {
      const checks = childController(this.controller.signal);
      const end = () => {
        checks.abort();
        resolve();
      };
      after(checks.signal, mostMs, end);
      every(checks.signal, DRAIN_CHECK_MS, () => {
        if (this.sessions.size === 0) end();
      });
    });
  }

  private accept(socket: Socket): void {
    const {frameBytes} = this.around.settings().proxy;
    const {signal} = this.controller;
    const connection = new FrameConnection(socket, frameBytes, signal);
    void startTask('session', () => this.serve(connection));
  }

  private *serve(connection: FrameConnection): Task<void> {
    for (;;) {
      const incoming = yield* connection.receive();
      if (incoming?.kind === 'error') {
        return this.refuse(connection, PROTOCOL_VIOLATION, incoming.reason);
      }
      if (incoming?.kind !== 'startup') return connection.destroy();
      const {packet} = incoming;
      switch (packet.kind) {
        case 'startup':
          return yield* this.serveSession(connection, packet.parameters);
        case 'encryption':
          connection.send(REFUSED_ENCRYPTION);
          break;
        case 'cancel':
          this.cancel(packet.processId, packet.key);
          return connection.end();
        case 'invalid':
          return this.refuse(connection, PROTOCOL_VIOLATION, packet.reason);
      }
    }
  }

  private *serveSession(
    connection: FrameConnection,
    parameters: ReadonlyMap<string, string>,
  ): Task<void> {
    const {callers} = this.around.settings().proxy;
    if (this.stopping) {
      const message = 'not run: the proxy is shutting down';
      return this.refuse(connection, NOT_RUN_SHUTTING_DOWN, message);
    }
    if (this.connections >= callers) {
      const message = 'not run: too many callers';
      return this.refuse(connection, TOO_MANY_CALLERS, message);
    }
    this.connections++;
    yield* this.runSession(connection, parameters);
    this.connections--;
  }

  private *runSession(
    connection: FrameConnection,
    parameters: ReadonlyMap<string, string>,
  ): Task<void> {
    const caller = callerName(parameters.get('user') ?? '');
    const service = serviceName(parameters.get('database') ?? caller);
    const router = this.around.services.router(service);
    if (!router) {
      const message = `service "${service}" does not exist`;
      return this.refuse(connection, UNKNOWN_SERVICE, message);
    }
    const state = new SessionState();
    const fault = this.takeParameters(state, parameters);
    if (fault) return connection.end(encodeError(fault));
    const {clock} = this.around.services;
    const session = new CallerSession(
      {
        caller,
        service,
        connection,
        state,
        named: new Map(),
        router,
        classifier: this.classifier,
        clock,
        meter: new SessionMeter(this.around.meter, service, caller),
        arrivedAt: clock.now(),
        classes: () => this.around.settings().classes,
      },
      () => {
        const {services} = this.around.settings();
        return services.get(service)?.idleTransactionMs ?? 0;
      },
    );
    const processId = ++this.lastProcessId;
    const secret = randomInt(2 ** 31);
    this.sessions.set(processId, {session, processId, secret});
    this.greet(connection, processId, secret);
    yield* session.run();
    this.sessions.delete(processId);
  }

  private takeParameters(
    state: SessionState,
    parameters: ReadonlyMap<string, string>,
  ): Diagnostic | undefined {
    const classes = new Set(this.around.settings().classes.keys());
    const options = parseStartupOptions(parameters.get('options') ?? '');
    for (const [name, value] of [...parameters, ...options]) {
      if (!SessionState.isProxyVariable(name)) continue;
      const fault = state.setProxyVariable(name, value, classes);
      if (fault) return fatal(INVALID_PARAMETER, fault.message);
    }
    return undefined;
  }

  private greet(
    connection: FrameConnection,
    processId: number,
    secret: number,
  ): void {
    connection.send(
      Buffer.concat([
        AUTHENTICATION_OK,
        ...PARAMETERS.map(([name, value]) =>
          encodeParameterStatus(name, value),
        ),
        encodeBackendKeyData(processId, secret),
        encodeReadyForQuery('idle'),
      ]),
    );
  }

  private cancel(processId: number, key: number): void {
    const open = this.sessions.get(processId);
    if (open?.secret === key) open.session.cancel();
  }

  private refuse(
    connection: FrameConnection,
    code: string,
    message: string,
  ): void {
    connection.end(encodeError(fatal(code, message)));
  }
}
