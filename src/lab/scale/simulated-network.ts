/** A network with seeded loss, duplication, delay and cuts between zones or daemons. */
import type { Milliseconds } from '../../core/common/time.js';
import type { PeerChannel } from '../../core/peer/index.js';
import type { Random } from '../workload/random.js';
import type { VirtualTime } from './virtual-time.js';

/** Faults of the network. Streams are only delayed and cut: TCP repairs loss and duplication. */
export interface NetworkFaults {
  readonly loss: number;
  readonly duplication: number;
  readonly minDelayMs: Milliseconds;
  readonly maxDelayMs: Milliseconds;
}

/** A node of the network. */
export interface NetworkNode {
  readonly name: string;
  readonly zone: string;
}

/** Whether messages from one node to another are dropped. */
export type Cut = (from: NetworkNode, to: NetworkNode) => boolean;

const STREAM_SETUP_TRIPS = 3;

/** Delivers messages in virtual time. */
export class SimulatedNetwork {
  /** Tests and experiments may change the faults at any time. */
  faults: NetworkFaults;
  cut: Cut = () => false;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    faults: NetworkFaults,
  ) {
    this.faults = faults;
  }

  /** Delivers a message after a delay, twice, or not at all. */
  carry(from: NetworkNode, to: NetworkNode, channel: PeerChannel, deliver: () => void): void {
    if (this.cut(from, to) || (channel === 'stream' && this.cut(to, from))) {
      return;
    }
    if (channel === 'stream') {
      this.time.schedule(STREAM_SETUP_TRIPS * this.delay(), deliver);
      return;
    }
    const copies = this.random.unit() < this.faults.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random.unit() >= this.faults.loss) {
        this.time.schedule(this.delay(), deliver);
      }
    }
  }

  private delay(): Milliseconds {
    const { minDelayMs, maxDelayMs } = this.faults;
    return minDelayMs + this.random.unit() * (maxDelayMs - minDelayMs);
  }
}
