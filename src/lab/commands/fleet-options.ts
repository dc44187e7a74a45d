/** Options shared by the commands that run fleets, and their handling of stop signals. */
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { UsageError } from 'clipanion';

const FLEETS_FOLDER = fileURLToPath(new URL('../../../../examples/fleets/', import.meta.url));

/** The path of a fleet file, given by path or by name (`scanhuis`, `roasting`). */
export function fleetPath(nameOrPath: string): string {
  const inPackage = `${FLEETS_FOLDER}${nameOrPath}.yaml`;
  const found = [nameOrPath, inPackage].find((path) => path.endsWith('.yaml') && existsSync(path));
  if (found !== undefined) return found;
  throw new UsageError(
    `--fleet ${nameOrPath}: no such file; give scanhuis, roasting or the path of a YAML file.`,
  );
}

/** A signal that aborts at the first SIGINT or SIGTERM; a second one exits the process at once. */
export function createInterruptSignal(): AbortSignal {
  const controller = new AbortController();
  const onSignal = (): void => {
    if (controller.signal.aborted) process.exit(1);
    controller.abort();
  };
  process.on('SIGINT', onSignal);
  process.on('SIGTERM', onSignal);
  return controller.signal;
}

/** Resolves once the signal is aborted. */
export function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
