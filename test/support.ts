import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import pg from 'pg';
import type {Fleet} from '../bench/fleet/fleet';

export const SERVICE = 'accounts';

/** A client of a proxy, by the proxy's place in the fleet. */
export async function client(
  fleet: Fleet,
  proxy: number,
  options: Readonly<Record<string, string>> = {},
  user = 'tester',
): Promise<pg.Client> {
  const text = Object.entries(options).map(([name, value]) => {
    return `-c bulrush.${name}=${value}`;
  });
  const connection = new pg.Client({
    host: '127.0.0.1',
    port: fleet.proxies[proxy]!.port,
    user,
    database: SERVICE,
    options: text.join(' '),
  });
  connection.on('error', () => {});
  await connection.connect();
  return connection;
}

/** A client of a target, past the proxies. */
export async function direct(port: number): Promise<pg.Client> {
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

/** What a statement came to: its rows, or the SQLSTATE it failed with. */
export async function outcome(
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

/** A relay of bytes that can go silent without closing anything. */
export class Relay {
  private readonly sockets = new Set<Socket>();
  private silent = false;

  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async to(port: number): Promise<Relay> {
    const server = createServer();
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = server.address();
    const own = typeof address === 'object' && address ? address.port : 0;
    const relay = new Relay(server, own);
    server.on('connection', socket => relay.join(socket, port));
    return relay;
  }

  /** Drops everything from now on, in both directions, in silence. */
  cut(): void {
    this.silent = true;
    for (const socket of this.sockets) socket.pause();
  }

  heal(): void {
    this.silent = false;
    for (const socket of this.sockets) socket.destroy();
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private join(near: Socket, port: number): void {
    const far = createConnection(port, '127.0.0.1');
    this.link(near, far);
    this.link(far, near);
  }

  private link(from: Socket, to: Socket): void {
    this.sockets.add(from);
    if (this.silent) from.pause();
    from.on('data', chunk => to.write(chunk));
    from.on('error', () => from.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      if (!this.silent) to.destroy();
    });
  }
}
