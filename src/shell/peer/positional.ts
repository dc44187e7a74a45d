/**
 * Converts objects to arrays in the order of their schema's keys, and enum values to their indexes,
 * and back, so that neither keys nor enum values are sent as text. Literals are not sent at all.
 * Only the schema types that the peer protocol uses are converted; other values stay unchanged.
 */
import { z } from 'zod';

/** Conversions between values and their positional form. */
export interface Positional {
  readonly pack: (value: unknown) => unknown;
  /** Accepts any input; the schema then rejects values that do not match. */
  readonly unpack: (wire: unknown) => unknown;
}

const IDENTITY: Positional = { pack: (value) => value, unpack: (wire) => wire };

/** Derives the conversions from a schema. */
export function positional(schema: z.core.$ZodType): Positional {
  if (schema instanceof z.ZodObject) {
    return positionalObject(schema);
  }
  if (schema instanceof z.ZodArray) {
    return positionalArray(schema.element);
  }
  if (schema instanceof z.ZodNullable) {
    return positionalNullable(schema.unwrap());
  }
  if (schema instanceof z.ZodEnum) {
    return positionalEnum(schema.options);
  }
  return IDENTITY;
}

function positionalObject(schema: z.ZodObject): Positional {
  const literals = Object.entries(schema.shape).flatMap(([key, inner]) =>
    inner instanceof z.ZodLiteral ? [[key, inner.value] as const] : [],
  );
  const fields = Object.entries(schema.shape)
    .filter(([, inner]) => !(inner instanceof z.ZodLiteral))
    .map(([key, inner]) => ({ key, inner: positional(inner) }));
  return {
    pack: (value) => {
      const object = value as Readonly<Record<string, unknown>>;
      return fields.map(({ key, inner }) => inner.pack(object[key]));
    },
    unpack: (wire) => {
      if (!Array.isArray(wire) || wire.length !== fields.length) {
        return null;
      }
      const sent = fields.map(({ key, inner }, index) => [key, inner.unpack(wire[index])] as const);
      return Object.fromEntries([...literals, ...sent]);
    },
  };
}

function positionalArray(element: z.core.$ZodType): Positional {
  const inner = positional(element);
  return {
    pack: (value) => (value as readonly unknown[]).map(inner.pack),
    unpack: (wire) => (Array.isArray(wire) ? wire.map(inner.unpack) : null),
  };
}

function positionalNullable(schema: z.core.$ZodType): Positional {
  const inner = positional(schema);
  return {
    pack: (value) => (value === null ? null : inner.pack(value)),
    unpack: (wire) => (wire === null ? null : inner.unpack(wire)),
  };
}

function positionalEnum(enumValues: readonly unknown[]): Positional {
  return {
    pack: (value) => enumValues.indexOf(value),
    unpack: (wire) => (typeof wire === 'number' ? enumValues[wire] : null),
  };
}
