/**
 * Entry point of the bundled gateway, copied to `target/gateway.cjs`. It runs the bundle with the code that
 * the build compiled; where that is missing or from another version of V8, node compiles it as usual.
 *
 * V8 tells compiled code of another bundle by the length of its source alone, so bundle and compiled code
 * have a hash of the source in their names, which the build writes in here. The folder may have been copied
 * from another kind of machine, so compiled code has the processor and the version of node in its name too.
 *
 * Signals are handled from the first lines on, as one that comes while the bundle is loaded would end the process.
 * Node.js delivers it in a later turn of the event loop, to the handlers that the program has by then.
 */
const SIGNALS = ['SIGHUP', 'SIGTERM', 'SIGINT'];
const isProgram = require.main === module;
const holdSignal = () => {};
if (isProgram) for (const signal of SIGNALS) process.on(signal, holdSignal);

const { readFileSync, write } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const BUILD = 'HASH';
const BUNDLE = join(__dirname, `gateway.${BUILD}.js`);
const COMPILED = join(__dirname, `gateway.${BUILD}.${process.arch}-${process.version}.compiled`);
const STANDARD_OUTPUT = 1;

function readCompiled() {
  try {
    return readFileSync(COMPILED);
  } catch {
    return undefined;
  }
}

/** The bundle as a script, and what it exports once it has run. */
function loadBundle() {
  const source = `(function (exports, require, module) {${readFileSync(BUNDLE, 'utf8')}\n})`;
  const script = new Script(source, { filename: BUNDLE, cachedData: readCompiled() });
  const bundle = { exports: {} };
  script.runInThisContext()(bundle.exports, require, bundle);
  return { script, exports: bundle.exports };
}

/** Event 6200, written before anything that can fail. A line that standard output does not take is lost. */
function logProcessStart() {
  const line = {
    level: 'info',
    time: Date.now(),
    event: 6200,
    build: BUILD,
    pid: process.pid,
    node: process.version,
    arch: process.arch,
    flags: process.execArgv.join(' '),
    msg: 'process started; its program is loaded next',
  };
  write(STANDARD_OUTPUT, `${JSON.stringify(line)}\n`, () => {});
}

module.exports = { loadBundle, COMPILED };

if (isProgram) {
  logProcessStart();
  loadBundle().exports.main({ build: BUILD });
}
