/** A block of loopback addresses for one run's daemons, so that runs beside each other never meet. */
import { createServer, type Server } from 'node:net';

const FIRST_BLOCK = 16;
const BLOCK_COUNT = 200;
/** Bound at the block's own address for as long as a run has the block. */
const CLAIM_PORT = 8_143;

/** Addresses 127.BLOCK.x.y. */
export class AddressBlock {
  readonly #block: number;
  readonly #claim: Server;

  private constructor(block: number, claim: Server) {
    this.#block = block;
    this.#claim = claim;
  }

  /** Takes the first block that no other run has. */
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
    server.once('error', () => resolve(undefined)); // Another run has it.
    server.listen(CLAIM_PORT, host, () => resolve(server));
  });
}
