/** Which part of the code may import which; see CONTRIBUTING.md. */
const PRODUCT = '^(src/(core|shell|daemon|cli)|platform)/';
const MODEL_EXPLORER = '^src/lab/model/graph-explorer.ts$';
const CORE_LIBRARIES = '(^|/)node_modules/(neverthrow|zod|ohm-js|pure-rand|xxhash-wasm)/';

module.exports = {
  forbidden: [
    {
      name: 'core-is-pure',
      comment: 'The core decides; it imports nothing that surrounds it and no platform module.',
      severity: 'error',
      from: { path: '^src/core/' },
      to: { path: '^(src/(shell|daemon|cli|lab)|scripts|test|bench|fuzz|report|soak)/' },
    },
    {
      name: 'core-has-no-input-or-output',
      severity: 'error',
      from: { path: '^src/core/' },
      to: { dependencyTypes: ['core'] },
    },
    {
      name: 'core-libraries',
      comment: 'Only libraries without input, output, timers or clocks.',
      severity: 'error',
      from: { path: '^src/core/' },
      to: { path: '(^|/)node_modules/', pathNot: CORE_LIBRARIES },
    },
    {
      name: 'shell-below-programs',
      severity: 'error',
      from: { path: '^src/shell/' },
      to: { path: '^src/(daemon|cli|lab)/' },
    },
    {
      name: 'lab-is-not-product',
      severity: 'error',
      from: { path: PRODUCT },
      to: { path: '^(src/lab|test|bench|fuzz|report|scripts|soak)/' },
    },
    {
      name: 'adapter-is-composed-in-one-place',
      comment: 'Only the gateway program names an adapter to a platform.',
      severity: 'error',
      from: { path: '^src/', pathNot: '^src/daemon/gateway-main.ts$' },
      to: { path: '^platform/' },
    },
    {
      name: 'adapter-takes-types-and-nothing-else',
      comment: 'An adapter translates: of the product it imports types only.',
      severity: 'error',
      from: { path: '^platform/' },
      to: { path: '^src/', dependencyTypesNot: ['type-only'] },
    },
    {
      name: 'one-process-one-thread',
      comment: 'A product process starts no other process and no thread.',
      severity: 'error',
      from: { path: PRODUCT },
      to: { path: '^(node:)?(child_process|worker_threads|cluster)$' },
    },
    {
      name: 'no-cycles',
      severity: 'error',
      from: { path: '^(src|platform|scripts|test|bench|fuzz|report|soak)/' },
      to: { circular: true },
    },
    {
      name: 'resolvable',
      severity: 'error',
      from: {},
      to: { couldNotResolve: true },
    },
    {
      name: 'declared-packages-only',
      comment: 'The product imports what package.json lists under dependencies.',
      severity: 'error',
      from: { path: '^(src|platform)/', pathNot: MODEL_EXPLORER },
      to: { dependencyTypes: ['npm-dev', 'npm-no-pkg', 'npm-unknown'] },
    },
    {
      name: 'model-explorer-packages',
      comment:
        'The model checker runs from a checkout only; of the packages for development it takes xstate.',
      severity: 'error',
      from: { path: MODEL_EXPLORER },
      to: { path: '(^|/)node_modules/', pathNot: '(^|/)node_modules/xstate/' },
    },
    {
      name: 'model-checker-is-not-shipped',
      comment: 'No installed program reaches what needs a package for development.',
      severity: 'error',
      from: { path: '^src/', pathNot: '^src/lab/model/' },
      to: { path: '^src/lab/model/' },
    },
  ],
  options: {
    doNotFollow: { path: 'node_modules' },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    combinedDependencies: false,
    enhancedResolveOptions: {
      exportsFields: ['exports'],
      conditionNames: ['import', 'node', 'types'],
    },
  },
};
