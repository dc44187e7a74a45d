/** Emulated plain web backends. */
export { tileContent } from './content.js';
export { createWebBackendServer, type WebBackendOptions, type WebBackendServer } from './server.js';
