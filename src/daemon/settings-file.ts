/** The settings file of a gateway. Another process writes it, so it may be missing or incomplete for a moment. */
import { readFileSync } from 'node:fs';
import type { Result } from 'neverthrow';
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
    return parseGatewaySettings(readFileSync(this.path, 'utf8'));
  }
}
