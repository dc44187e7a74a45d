/**
 * Fingerprints identify repeats of the same request at any daemon and under any attempt id: a digest of fixed length
 * over method, host, path, tenant and body. The digest is keyed with a secret of the fleet, so that a body cannot be
 * guessed from a digest seen in a log, a datagram or a stored row.
 */
import { createHmac } from 'node:crypto';
import type { Exchange, ExchangeOptions } from './exchange.js';

/** 128 bits make accidental collisions negligible. */
const DIGEST_BYTES = 16;

/** The parts of an exchange that the crash guard uses. */
export interface GuardedExchange extends Pick<Exchange, 'refuse' | 'withdraw'> {
  readonly options: Pick<ExchangeOptions, 'tenant' | 'body' | 'description'> & {
    readonly request: Pick<ExchangeOptions['request'], 'method' | 'url' | 'headers'>;
  };
}

/** The parts of a request that its fingerprint covers. */
interface FingerprintedRequest {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** The tenant's name; empty where requests need no API key. */
  readonly tenant: string;
  readonly body: Buffer;
}

/** @param key the secret of the fleet */
function fingerprintOf(request: FingerprintedRequest, key: Buffer): string {
  const { method, host, path, tenant, body } = request;
  const head = JSON.stringify([method, host.toLowerCase(), path, tenant]);
  const digest = createHmac('sha256', key).update(head).update(body).digest();
  return digest.subarray(0, DIGEST_BYTES).toString('hex');
}

/** Computes fingerprints once the secret is known: lazily, and at most once per request. */
export class RequestFingerprints {
  #key: Buffer | undefined;
  readonly #fingerprints = new WeakMap<GuardedExchange, string>();

  get hasKey(): boolean {
    return this.#key !== undefined;
  }

  /** The secret of the fleet; undefined until it has been read. */
  get key(): Buffer | undefined {
    return this.#key;
  }

  setKey(key: Buffer): void {
    this.#key = key;
  }

  /** The fingerprint of a request; undefined until the secret has been read. */
  of(exchange: GuardedExchange): string | undefined {
    if (this.#key === undefined) return undefined;
    const cached = this.#fingerprints.get(exchange);
    if (cached !== undefined) return cached;
    const { request, tenant, body } = exchange.options;
    const described = {
      method: request.method ?? '',
      host: request.headers.host ?? '',
      path: request.url ?? '',
      tenant: tenant?.name ?? '',
      body,
    };
    const fingerprint = fingerprintOf(described, this.#key);
    this.#fingerprints.set(exchange, fingerprint);
    return fingerprint;
  }
}
