/**
 * Maps equal values to one small number, so that state keys are short and fast to compute.
 * Interned values must be immutable: the number of an object is cached by its identity.
 */

const numbersByText = new Map<string, number>();
const numbersByObject = new WeakMap<object, number>();

/** The number of a value; values with equal JSON have equal numbers. */
export function intern(value: object): number {
  const known = numbersByObject.get(value);
  if (known !== undefined) return known;
  return remember(value, JSON.stringify(value));
}

/** The number of the projection of an object, computed once for each object. */
export function internProjection<T extends object>(
  object: T,
  project: (object: T) => unknown,
): number {
  const known = numbersByObject.get(object);
  if (known !== undefined) return known;
  return remember(object, JSON.stringify(project(object)));
}

function remember(object: object, text: string): number {
  const number = numbersByText.get(text) ?? numbersByText.size;
  numbersByText.set(text, number);
  numbersByObject.set(object, number);
  return number;
}
