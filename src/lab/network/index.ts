/** Network faults for tests over TCP. */
export { Link } from './link.js';
