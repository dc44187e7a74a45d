/** Faults of engines that change how long requests take there: their pace, their queues and their first tokens. */

export type EngineFault =
  /** The engines need several times as long for each token and each prompt. */
  | {
      readonly kind: 'pace';
      readonly servers: readonly number[];
      readonly factor: number;
      readonly forMs: number;
    }
  /** The engines run a few requests at a time, and let others wait instead of refusing them. */
  | {
      readonly kind: 'queue';
      readonly servers: readonly number[];
      readonly slots: number;
      readonly forMs: number;
    }
  /** The first tokens of streams that begin are late. */
  | {
      readonly kind: 'late-first-tokens';
      readonly servers: readonly number[];
      readonly delayMs: number;
      readonly forMs: number;
    };
