/** Times many short operations individually with the monotonic clock. */

/** The distribution of the times of an operation, in microseconds. */
export interface OperationTimes {
  readonly operations: number;
  readonly medianMicroseconds: number;
  readonly p99Microseconds: number;
}

const WARM_UP_SHARE = 0.2;

/**
 * Runs an operation `count` times after a warm-up and returns the distribution of its times.
 * @param between runs before each operation, outside the measured time
 */
export function timeOperations(
  count: number,
  operation: (turn: number) => void,
  between: (turn: number) => void = () => {},
): OperationTimes {
  const warmUp = Math.ceil(count * WARM_UP_SHARE);
  for (let turn = 0; turn < warmUp; turn += 1) {
    between(turn);
    operation(turn);
  }
  const times = new Float64Array(count);
  for (let turn = 0; turn < count; turn += 1) {
    between(warmUp + turn);
    const startedAt = process.hrtime.bigint();
    operation(warmUp + turn);
    times[turn] = Number(process.hrtime.bigint() - startedAt) / 1_000;
  }
  times.sort();
  return {
    operations: count,
    medianMicroseconds: rounded(times[Math.floor(count / 2)]),
    p99Microseconds: rounded(times[Math.floor(count * 0.99)]),
  };
}

function rounded(value: number | undefined): number {
  return Math.round((value ?? Number.NaN) * 100) / 100;
}
