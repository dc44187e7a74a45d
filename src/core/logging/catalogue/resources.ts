/** Log events 6230-6239: resources of the process that run short. */
import type { LogEvent } from '../log-event.js';

export const RESOURCE_EVENTS = {
  heapNearLimit: {
    number: 6230,
    level: 'warn',
    reserve: 'process-life',
    message:
      'the heap in use has passed four fifths of its limit; at the limit the process ends, whatever memory the machine has',
    remedy:
      'Look at what the line counts: requests and bytes of bodies call for more daemons or smaller limits in the configuration. If none of them is large, raise --max-old-space-size in the command line and report the line with the build of event 6000.',
  },
  requestsBeyondResources: {
    number: 6231,
    level: 'warn',
    reserve: 'process-life',
    message:
      'requests were rejected before they were read, as there was no memory or no descriptor for them',
    remedy:
      'Their callers come back, also to other daemons. If it repeats, add daemons, memory (limits.memoryMb) or descriptors (limits.descriptors), or make maxBodyBytes and maxHeaderBytes of the configuration smaller.',
  },
  connectionsDropped: {
    number: 6232,
    level: 'warn',
    reserve: 'process-life',
    message: "callers' connections were closed at once, as there were too many",
    remedy:
      'Their callers connect again, also to other daemons. If it repeats, add daemons or descriptors (limits.descriptors), or make idleTimeoutMs of the configuration shorter.',
  },
  bodiesTimedOut: {
    number: 6233,
    level: 'warn',
    reserve: 'process-life',
    message:
      'requests were answered 408 and not run, as no byte of their bodies came for idleTimeoutMs of the configuration',
    remedy:
      'Their callers stopped in the middle of a body; they may send the request again. If callers pause for longer, make idleTimeoutMs of the configuration longer.',
  },
  bodiesEvicted: {
    number: 6234,
    level: 'warn',
    reserve: 'process-life',
    message:
      'requests whose bodies had stalled were answered 503 and not run, as their memory was needed for other requests',
    remedy:
      'Their callers may send the request again. If it repeats, look for callers that begin many bodies and do not end them, or add daemons or memory (limits.memoryMb).',
  },
  pipelinedClosed: {
    number: 6235,
    level: 'warn',
    reserve: 'process-life',
    message:
      'connections were closed, as their callers sent requests before the answers to earlier ones and there was no memory for them',
    remedy:
      'Callers that send one request at a time on a connection are not affected. If it repeats, look for a caller that pipelines many requests.',
  },
  headsRefused: {
    number: 6236,
    level: 'warn',
    reserve: 'process-life',
    message:
      'connections were closed whose heads of requests were not complete: in time, within the limit, or while there was memory for them',
    remedy:
      'Nothing of these requests was run. If head-evicted repeats, look for callers that begin many heads and do not end them; if head-too-large does, make maxHeaderBytes of the configuration larger.',
  },
  answersUnread: {
    number: 6237,
    level: 'warn',
    reserve: 'process-life',
    message:
      'connections were closed whose callers took no byte of a complete answer for idleTimeoutMs of the configuration',
    remedy:
      'These callers did not get the whole answer to a request that ran. If callers pause for longer while they read, make idleTimeoutMs of the configuration longer.',
  },
} as const satisfies Record<string, LogEvent>;
