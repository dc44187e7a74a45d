/** What this daemon is doing for a request, for the log line of one that a stop cuts. */

/** What is being done for a request before its answer has begun. */
export type ActivityPhase =
  | 'checking'
  | 'reading-body'
  /** Other daemons are asked where the stream that the caller takes up began. */
  | 'finding-origin'
  | 'choosing-server'
  | 'waiting-for-admission'
  | 'waiting-for-permit'
  /** A stream that has begun waits for an engine that goes on with it. */
  | 'waiting-for-engine'
  | 'prefilling'
  /** Sent to a server that has not answered. */
  | 'sent'
  /** Sent to another daemon. */
  | 'forwarded'
  /** The server's answer is being held until it is complete. */
  | 'receiving-answer';

/** What is being done for a request; `delivering` once its whole answer is written and its caller has not taken all of it. */
export type RequestPhase = ActivityPhase | 'streaming' | 'delivering';

/** One thing that is being done for a request. */
export interface Activity {
  readonly phase: ActivityPhase;
  /** The server or daemon that it is done at; empty if it is done here. */
  readonly server: string;
}

/** Ends an activity; a second call has no effect. */
export type EndActivity = () => void;

/** The activities of one request, which may overlap. */
export class RequestProgress {
  readonly #activities = new Set<Activity>();
  #lastServer = '';
  #bytesSent = 0;

  /** The activity that began last of those in progress; between two, a server is being chosen. */
  get latest(): Activity {
    return [...this.#activities].at(-1) ?? { phase: 'choosing-server', server: '' };
  }

  /** The server or daemon that the request was sent to last; empty if to none. */
  get lastServer(): string {
    return this.#lastServer;
  }

  /** Bytes of the answer's body that were written to the caller's connection. */
  get bytesSent(): number {
    return this.#bytesSent;
  }

  begin(phase: ActivityPhase, server = ''): EndActivity {
    const activity = { phase, server };
    this.#activities.add(activity);
    if (server !== '') this.#lastServer = server;
    return () => {
      this.#activities.delete(activity);
    };
  }

  recordBytesSent(bytes: number): void {
    this.#bytesSent += bytes;
  }
}
