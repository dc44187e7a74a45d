/** The settings file of a gateway. Another process writes it, so it may be missing or incomplete for a moment. */
import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import {
  type GatewaySettings,
  parseGatewaySettings,
  type SettingsProblem,
} from '../shell/gateway/index.js';

/** Reads the settings of a gateway from a file. */
export class SettingsFile {
  readonly path: string;

  constructor(path: string) {
    this.path = path;
  }

  /** Reads the file as it is now. */
  read(): Result<GatewaySettings, SettingsProblem> {
    return this.#readText().andThen(parseGatewaySettings);
  }

  #readText(): Result<string, SettingsProblem> {
    try {
      return ok(readFileSync(this.path, 'utf8'));
    } catch (cause) {
      return err({
        key: '(the whole file)',
        found: cause instanceof Error ? cause.message : String(cause),
        remedy: 'Put the settings there, in a file that this process may read.',
      });
    }
  }
}
