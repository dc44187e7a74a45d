/** Callers of the simulated fleet: they send requests to daemons and report the outcomes. */
import type { CallerOutcome, FleetObserver, IssuedRequest } from './observer.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { HttpOutcome } from './simulated-http.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { VirtualClock } from './virtual-clock.js';

/** The network node that represents all callers. */
const CALLER_NODE = 'callers';

/** Sends requests and reports each one's end exactly once. */
export class SimulatedCallers {
  constructor(
    private readonly clock: VirtualClock,
    private readonly network: SimulatedNetwork,
    private readonly observer: FleetObserver,
  ) {}

  /** Sends one request to a daemon; the caller disconnects after `giveUpAfterMs` unless it is null. */
  send(issued: IssuedRequest, daemon: SimulatedDaemon, giveUpAfterMs: number | null): void {
    const tokens: string[] = [];
    let ended = false;
    const end = (outcome: CallerOutcome): void => {
      if (!ended) {
        ended = true;
        this.observer.requestEnded(issued, outcome);
      }
    };
    this.observer.requestIssued(issued);
    const sendBack = (run: () => void): void =>
      this.network.sendReliably(daemon.name, CALLER_NODE, run);
    this.network.sendReliably(CALLER_NODE, daemon.name, () => {
      const accepted = daemon.acceptRequest({
        issued,
        deliver: (token) =>
          sendBack(() => {
            tokens.push(token);
            this.observer.tokenReceived?.(issued);
          }),
        end: (outcome) => sendBack(() => end(callerOutcome(outcome, tokens))),
        reset: () => sendBack(() => end({ kind: 'disconnected', tokens })),
      });
      if (!accepted) {
        sendBack(() => end({ kind: 'unreachable' }));
      }
    });
    if (giveUpAfterMs !== null) {
      this.clock.scheduleAt(this.clock.now + giveUpAfterMs, () => {
        if (!ended) {
          end({ kind: 'disconnected', tokens });
          this.network.sendReliably(CALLER_NODE, daemon.name, () =>
            daemon.handleCallerDisconnect(issued.description.id),
          );
        }
      });
    }
  }
}

function callerOutcome(outcome: HttpOutcome, tokens: readonly string[]): CallerOutcome {
  return outcome.kind === 'replayed' ? outcome : { ...outcome, tokens };
}
