/** A block of loopback addresses for the daemons of one run, so that concurrent runs never use the same address. */
import { createServer, type Server } from 'node:net';

const FIRST_BLOCK = 16;
const BLOCK_COUNT = 200;
/** A run that owns a block listens at this port of the block's first address, which keeps other runs from taking it. */
const CLAIM_PORT = 8_143;

/** The addresses 127.BLOCK.x.y, where BLOCK is the number of the block. */
export class AddressBlock {
  readonly #block: number;
  readonly #claim: Server;

  private constructor(block: number, claim: Server) {
    this.#block = block;
    this.#claim = claim;
  }

  /** Takes the first block that no other run owns. */
  static async claim(): Promise<AddressBlock> {
    for (let offset = 0; offset < BLOCK_COUNT; offset += 1) {
      const block = FIRST_BLOCK + ((process.pid + offset) % BLOCK_COUNT);
      const claim = await listenAt(`127.${block}.0.1`);
      if (claim !== undefined) return new AddressBlock(block, claim);
    }
    throw new Error(`no block of loopback addresses is free: port ${CLAIM_PORT} is in use on each`);
  }

  addressOf(zone: number, daemon: number): string {
    return `127.${this.#block}.${zone + 1}.${daemon + 1}`;
  }

  release(): void {
    this.#claim.close();
  }
}

function listenAt(host: string): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined)); // Another run owns the block.
    server.listen(CLAIM_PORT, host, () => resolve(server));
  });
}
