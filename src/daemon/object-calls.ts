/** Carries out the core's object store calls. Objects contain JSON. */

import type { Fault } from '../core/errors/fault.js';
import type { ObjectCall, ObjectResult } from '../core/platform/object.js';
import type { PlatformClient } from '../shell/platform/index.js';

const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Carries out one call. Never rejects. */
export async function performObjectCall(
  platform: PlatformClient,
  call: ObjectCall,
): Promise<ObjectResult> {
  if (call.kind === 'put') {
    const content = Buffer.from(JSON.stringify(call.content));
    const stored = await platform.putObject(call.name, content);
    return stored.match<ObjectResult>(() => ({ kind: 'stored' }), failure);
  }
  const found = await platform.getObject(call.name);
  return found.match<ObjectResult>(contentOf, failure);
}

function contentOf(bytes: Uint8Array | null): ObjectResult {
  if (bytes === null) {
    return { kind: 'absent' };
  }
  try {
    return { kind: 'content', content: JSON.parse(Buffer.from(bytes).toString('utf8')) };
  } catch {
    return { kind: 'lost', reason: 'the object is not JSON' };
  }
}

function failure(fault: Fault): ObjectResult {
  if (fault.code === 'version-conflict') {
    return { kind: 'exists-differently' };
  }
  if (fault.outcome === 'unknown') {
    return { kind: 'lost', reason: fault.message };
  }
  const retryAfterMs = fault.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  return { kind: 'unavailable', reason: fault.message, retryAfterMs };
}
