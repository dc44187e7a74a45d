/**
 * The limits that servers in need name in their answers: how many requests a second each takes from all daemons
 * together, for as long as it says so. A limit ends with an answer that names none and whose request was sent after
 * the last one that named it: an older answer that comes late says nothing of now.
 */
import type { ServerRecord } from './server-directory.js';

/** What an answer says of the limit of its server. */
export type SaidLimit =
  | { readonly kind: 'named'; readonly perSecond: number }
  /** It names none; the attempt that it answers. */
  | { readonly kind: 'none'; readonly attemptId: string | undefined }
  /** Not as servers write it: it neither names a limit nor ends one. */
  | { readonly kind: 'unreadable'; readonly text: string }
  /** Another server may have written it. */
  | { readonly kind: 'unknown' };

/** What was said of a limit by an answer that is sure to be the server's own. */
export type HeardLimit = Extract<SaidLimit, { kind: 'named' | 'none' }>;

/** When the request of an answer was sent, and when its answer came. */
export interface AnswerTimes {
  readonly sentAtMs: number;
  readonly nowMs: number;
}

/** What an answer changed in what is known. */
export type LimitChange =
  | { readonly kind: 'named'; readonly perSecond: number }
  | { readonly kind: 'changed'; readonly perSecond: number; readonly before: number }
  | { readonly kind: 'ended'; readonly before: number };

/** A limit that is in force as far as is known. */
export interface NamedLimit {
  readonly perSecond: number;
  /** When an answer said it last. */
  readonly saidAtMs: number;
}

/** The limits in force, by server. */
export class NamedLimits {
  readonly #limits = new Map<string, NamedLimit>();

  /** Takes an answer's word; undefined where it changes nothing. */
  hear({ id }: ServerRecord, said: HeardLimit, times: AnswerTimes): LimitChange | undefined {
    const known = this.#limits.get(id);
    switch (said.kind) {
      case 'none':
        if (known === undefined || times.sentAtMs <= known.saidAtMs) return undefined;
        this.#limits.delete(id);
        return { kind: 'ended', before: known.perSecond };
      case 'named': {
        const { perSecond } = said;
        this.#limits.set(id, { perSecond, saidAtMs: times.nowMs });
        if (known === undefined) return { kind: 'named', perSecond };
        const isSame = known.perSecond === perSecond;
        return isSame ? undefined : { kind: 'changed', perSecond, before: known.perSecond };
      }
    }
  }

  /** The limit of a server; undefined where none is in force. */
  of(serverId: string): NamedLimit | undefined {
    return this.#limits.get(serverId);
  }

  /** A server is no longer listed. */
  forget(serverId: string): void {
    this.#limits.delete(serverId);
  }

  /** Servers that name a limit. */
  get count(): number {
    return this.#limits.size;
  }
}
