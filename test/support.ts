import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import pg from 'pg';
import type {Fleet} from '../bench/fleet/fleet';

/** Name of the service in the test fleets. */
export const SERVICE = 'accounts';

/** Connects to a proxy, given by its index in the fleet. */
export async function connectToProxy(
  fleet: Fleet,
  proxyIndex: number,
  options: Readonly<Record<string, string>> = {},
  user = 'tester',
): Promise<pg.Client> {
  const settings = Object.entries(options).map(([name, value]) => {
    return `-c bulrush.${name}=${value}`;
  });
  const connection = new pg.Client({
    host: '127.0.0.1',
    port: fleet.proxies[proxyIndex]!.port,
    user,
    database: SERVICE,
    options: settings.join(' '),
  });
  connection.on('error', () => {});
  await connection.connect();
  return connection;
}

/** Connects to a target directly, bypassing the proxies. */
export async function connectToTarget(port: number): Promise<pg.Client> {
  const connection = new pg.Client({
    host: '127.0.0.1',
    port,
    user: 'tester',
    database: SERVICE,
  });
  connection.on('error', () => {});
  await connection.connect();
  return connection;
}

/** Runs a statement; returns its rows or the SQLSTATE of its error. */
export async function runQuery(
  connection: pg.Client,
  text: string,
  values: unknown[] = [],
): Promise<Record<string, unknown>[] | string> {
  try {
    return (await connection.query(text, values)).rows;
  } catch (error) {
    return (error as {code?: string}).code ?? 'connection lost';
  }
}

/** A TCP relay that can simulate a network partition. */
export class Relay {
  private readonly sockets = new Set<Socket>();
  private isPartitioned = false;

  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async start(targetPort: number): Promise<Relay> {
    const server = createServer();
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = server.address();
    const ownPort = typeof address === 'object' && address ? address.port : 0;
    const relay = new Relay(server, ownPort);
    server.on('connection', socket => relay.accept(socket, targetPort));
    return relay;
  }

  /** Stops forwarding in both directions without closing connections. */
  partition(): void {
    this.isPartitioned = true;
    for (const socket of this.sockets) socket.pause();
  }

  heal(): void {
    this.isPartitioned = false;
    for (const socket of this.sockets) socket.destroy();
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(client: Socket, targetPort: number): void {
    const upstream = createConnection(targetPort, '127.0.0.1');
    this.forward(client, upstream);
    this.forward(upstream, client);
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.add(from);
    if (this.isPartitioned) from.pause();
    from.on('data', chunk => to.write(chunk));
    from.on('error', () => from.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      if (!this.isPartitioned) to.destroy();
    });
  }
}
