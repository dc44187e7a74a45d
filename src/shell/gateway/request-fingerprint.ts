/**
 * By what the same work is known again, whichever daemon takes it and under whichever attempt id: a digest of fixed
 * length over its method, host, path, tenant and body. It is keyed with a secret of the fleet, so that nobody who
 * sees a digest in a log, a datagram or a row can try out bodies.
 */
import { createHmac } from 'node:crypto';
import type { Exchange, ExchangeOptions } from './exchange.js';

/** 128 bits: no two requests share one by chance. */
const DIGEST_BYTES = 16;

/** A request under way, as far as it matters to whether it ends servers. */
export interface GuardedExchange extends Pick<Exchange, 'refuse'> {
  readonly options: Pick<ExchangeOptions, 'tenant' | 'body' | 'description'> & {
    readonly request: Pick<ExchangeOptions['request'], 'method' | 'url' | 'headers'>;
  };
}

/** The request as far as its fingerprint goes. */
interface FingerprintedRequest {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Empty where requests need no key. */
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

/** Works out fingerprints once the secret is known, each request's at most once and only when asked. */
export class RequestFingerprints {
  #key: Buffer | undefined;
  readonly #known = new WeakMap<GuardedExchange, string>();

  get hasKey(): boolean {
    return this.#key !== undefined;
  }

  /** The secret of the fleet; undefined until it was read. */
  get key(): Buffer | undefined {
    return this.#key;
  }

  setKey(key: Buffer): void {
    this.#key = key;
  }

  /** Undefined until the secret was read. */
  of(exchange: GuardedExchange): string | undefined {
    if (this.#key === undefined) return undefined;
    const known = this.#known.get(exchange);
    if (known !== undefined) return known;
    const { request, tenant, body } = exchange.options;
    const described = {
      method: request.method ?? '',
      host: request.headers.host ?? '',
      path: request.url ?? '',
      tenant: tenant?.name ?? '',
      body,
    };
    const fingerprint = fingerprintOf(described, this.#key);
    this.#known.set(exchange, fingerprint);
    return fingerprint;
  }
}
