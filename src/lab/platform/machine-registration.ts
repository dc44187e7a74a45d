/** Adds machines to the platform's machine list and removes them. */
import { request } from 'undici';
import type { Endpoint, Machine } from '../../core/registry/backend.js';
import { formatEndpoint } from '../../shell/settings/index.js';

/** A client of the calls that register and remove machines. */
export class MachineRegistration {
  private readonly url: string;

  constructor(private readonly platform: Endpoint) {
    this.url = `http://${formatEndpoint(platform)}/machines`;
  }

  /** Adds a machine or replaces its entry. Rejects if the platform does not confirm it. */
  async put(machine: Machine): Promise<void> {
    await this.call('POST', this.url, JSON.stringify({ machine }));
  }

  /** Removes a machine. Errors are ignored, because the platform may have stopped already. */
  async remove(name: string): Promise<void> {
    await this.call('DELETE', `${this.url}/${encodeURIComponent(name)}`, null).catch(
      () => undefined,
    );
  }

  private async call(method: 'POST' | 'DELETE', url: string, body: string | null): Promise<void> {
    const answer = await request(url, { method, body });
    const text = await answer.body.text();
    if (answer.statusCode === 200) return;
    const where = formatEndpoint(this.platform);
    throw new Error(`the platform at ${where} answered ${answer.statusCode}: ${text}`);
  }
}
