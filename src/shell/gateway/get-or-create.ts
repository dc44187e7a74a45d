/** A map's entry, created where there is none. */
export function getOrCreate<Value>(
  map: Map<string, Value>,
  key: string,
  create: () => Value,
): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
}
