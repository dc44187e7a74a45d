/**
 * Loaded into each daemon of a soak before its program (`--require`). Reports on a pipe to the soak the moment at which the
 * program first reads another file, which is its bundle: the loader's own first lines have run by then, and what a start
 * spends its time on comes after it.
 */
const fs = require('node:fs');

const MARKER_DESCRIPTOR = 3;

const { readFileSync } = fs;
let isReported = false;

fs.readFileSync = (path, ...rest) => {
  if (!isReported && path !== process.argv[1]) {
    isReported = true;
    fs.writeSync(MARKER_DESCRIPTOR, '.');
  }
  return readFileSync(path, ...rest);
};
