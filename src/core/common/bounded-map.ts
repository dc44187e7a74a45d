/** Maps whose keys come from outside the process. */

/** Sets an entry and makes it the newest; beyond `maxEntries` the oldest one is dropped. */
export function setNewest<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  maxEntries: number,
): void {
  map.delete(key);
  map.set(key, value);
  if (map.size <= maxEntries) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
