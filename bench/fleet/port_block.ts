import {createServer, type Server} from 'node:net';

/** Below the ephemeral range, which outgoing connections use. */
const FIRST_PORT = 20_000;
const PORTS_PER_BLOCK = 128;
const BLOCK_COUNT = 99;
const ANY_ADDRESS = '0.0.0.0';

/**
 * Ports that nobody else gets until they are released: no other fleet of this
 * process or of another test run, even while no process listens on them.
 */
export class PortBlock {
  private next: number;

  /** @param lock Listens on the first port, which marks the block as taken. */
  private constructor(
    private readonly lock: Server,
    private readonly firstPort: number,
  ) {
    this.next = firstPort + 1;
  }

  /** Claims a free block; throws if there is none. */
  static async claim(): Promise<PortBlock> {
    const start = Math.floor(Math.random() * BLOCK_COUNT);
    for (let tried = 0; tried < BLOCK_COUNT; tried++) {
      const index = (start + tried) % BLOCK_COUNT;
      const firstPort = FIRST_PORT + index * PORTS_PER_BLOCK;
      const lock = await listen(firstPort);
      if (lock) return new PortBlock(lock, firstPort);
    }
    throw new Error(`all ${BLOCK_COUNT} blocks of ports are taken`);
  }

  /**
   * Returns further ports of the block, which are free at all addresses of this
   * machine; throws if too few remain.
   */
  async take(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      const port = this.next++;
      if (port >= this.firstPort + PORTS_PER_BLOCK) {
        throw new Error(`fewer than ${count} ports remain in the block`);
      }
      const probe = await listen(port);
      if (!probe) continue;
      await close(probe);
      ports.push(port);
    }
    return ports;
  }

  release(): Promise<void> {
    return close(this.lock);
  }
}

/**
 * Listens at all addresses, which fails if a listener holds the port at any of
 * them; undefined then.
 */
function listen(port: number): Promise<Server | undefined> {
  const server = createServer().unref();
  return new Promise(resolve => {
    server.once('error', () => resolve(undefined));
    server.listen({port, host: ANY_ADDRESS, exclusive: true}, () => {
      resolve(server);
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
