/** The object store (write-once names) and the weight store (existing model versions). */

/** The result of a put. `exists`: the name already has different content. */
export type PutOutcome = 'stored' | 'unchanged' | 'exists';

/** Objects by name; content never changes once written. */
export class ObjectStore {
  private readonly objects = new Map<string, Uint8Array>();

  /** Stores the content under a new name; repeating a put with equal content is no error. */
  put(name: string, content: Uint8Array): PutOutcome {
    const present = this.objects.get(name);
    if (present === undefined) {
      this.objects.set(name, Uint8Array.from(content));
      return 'stored';
    }
    return Buffer.compare(present, content) === 0 ? 'unchanged' : 'exists';
  }

  /** The content, or null. */
  get(name: string): Uint8Array | null {
    return this.objects.get(name) ?? null;
  }
}

/** Identifies a version of a model, or of an adapter of a model. */
export interface WeightName {
  readonly model: string;
  readonly version: string;
  /** Absent for the model's own weights. */
  readonly adapter?: string | undefined;
}

/** Which weights exist and how large they are. */
export class WeightStore {
  private readonly sizes = new Map<string, number>();

  /** Adds weights with their size in bytes. */
  add(name: WeightName, bytes: number): void {
    this.sizes.set(weightPath(name), bytes);
  }

  /** The size in bytes; null if there are no such weights. */
  bytes(name: WeightName): number | null {
    return this.sizes.get(weightPath(name)) ?? null;
  }
}

/** The path of weights under `/weights/`. */
function weightPath(name: WeightName): string {
  const parts = [name.model, name.version];
  if (name.adapter !== undefined) parts.push(name.adapter);
  return parts.join('/');
}
