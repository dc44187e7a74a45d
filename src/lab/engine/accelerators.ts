/**
 * What a step costs on each accelerator generation. The basis is a model of 8 billion parameters in
 * 16-bit weights with grouped-query attention (32 layers, 8 KV heads of 128); bandwidth and arithmetic
 * speed are from the public data sheet of the accelerator; every other value is marked as assumed.
 */

/** The cost model of one accelerator; times in milliseconds at speed factor 1. */
export interface AcceleratorProfile {
  /** Fixed cost of a step: all weights are read once. */
  readonly baseStepMs: number;
  readonly prefillMsPerToken: number;
  /** Per sequence in the batch: sampling and scheduling. */
  readonly batchMsPerSequence: number;
  /** Per token whose KV is resident: the KV is read once per step. */
  readonly kvMsPerToken: number;
  /** Tokens of KV that fit beside the weights. */
  readonly kvCapacityTokens: number;
}

/** KV bytes of one token: 2 (key, value) × 32 layers × 8 heads × 128 × 2 bytes. */
export const KV_BYTES_PER_TOKEN = 131_072;

/** Bytes per millisecond between two engines: 1,100 GB/s shared by 820 engines (the design size). */
export const KV_TRANSFER_BYTES_PER_MS = 1_100e9 / 820 / 1_000;

const WEIGHT_BYTES = 16e9;
const ARITHMETIC_PER_PREFILL_TOKEN = 16e9;
const MS_PER_SECOND = 1_000;
/** Assumed: the share of peak arithmetic throughput that prefill reaches. */
const PREFILL_UTILISATION = 0.5;
/** Assumed: the share of memory left for KV after weights, activations and fragmentation. */
const KV_SHARE_OF_FREE_MEMORY = 0.8;
/** Assumed. */
const BATCH_MS_PER_SEQUENCE = 0.02;

interface DataSheet {
  readonly bandwidthBytesPerSecond: number;
  readonly arithmeticPerSecond: number;
  readonly memoryBytes: number;
}

/** NVIDIA H100 SXM data sheet: 3.35 TB/s, 989 TFLOPS dense BF16, 80 GB. */
const NEW_DATA_SHEET: DataSheet = {
  bandwidthBytesPerSecond: 3.35e12,
  arithmeticPerSecond: 989e12,
  memoryBytes: 80e9,
};

/** NVIDIA A100 40GB data sheet: 1.555 TB/s, 312 TFLOPS dense BF16, 40 GB. */
const OLD_DATA_SHEET: DataSheet = {
  bandwidthBytesPerSecond: 1.555e12,
  arithmeticPerSecond: 312e12,
  memoryBytes: 40e9,
};

function profileOf(sheet: DataSheet): AcceleratorProfile {
  const prefillPerSecond = sheet.arithmeticPerSecond * PREFILL_UTILISATION;
  const freeBytes = (sheet.memoryBytes - WEIGHT_BYTES) * KV_SHARE_OF_FREE_MEMORY;
  return {
    baseStepMs: (WEIGHT_BYTES / sheet.bandwidthBytesPerSecond) * MS_PER_SECOND,
    prefillMsPerToken: (ARITHMETIC_PER_PREFILL_TOKEN / prefillPerSecond) * MS_PER_SECOND,
    batchMsPerSequence: BATCH_MS_PER_SEQUENCE,
    kvMsPerToken: (KV_BYTES_PER_TOKEN / sheet.bandwidthBytesPerSecond) * MS_PER_SECOND,
    kvCapacityTokens: Math.floor(freeBytes / KV_BYTES_PER_TOKEN),
  };
}

/** The accelerator generations of the emulated fleets. */
export const ACCELERATORS = {
  new: profileOf(NEW_DATA_SHEET),
  old: profileOf(OLD_DATA_SHEET),
} as const satisfies Record<string, AcceleratorProfile>;

/** The name of a generation. */
export type AcceleratorName = keyof typeof ACCELERATORS;
