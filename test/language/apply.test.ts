/** Commands applied to documents: their effect, atomic blocks, and the round trip of a document. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type ConfigurationDocument,
  EMPTY_CONFIGURATION,
} from '../../src/core/configuration/document.js';
import { parseDocument, validateDocument } from '../../src/core/configuration/validate.js';
import {
  applyCommands,
  type Change,
  formatDocumentAsCommands,
  parseStatement,
} from '../../src/core/language/index.js';

const EMPTY = EMPTY_CONFIGURATION.document;

/** Freezes a document deeply, so that a command that modifies it in place throws. */
function deepFreeze<T extends object>(value: T): T {
  for (const part of Object.values(value)) {
    if (typeof part === 'object' && part !== null) {
      deepFreeze(part);
    }
  }
  return Object.freeze(value);
}

function apply(text: string, document: ConfigurationDocument = EMPTY) {
  const statement = parseStatement(text)._unsafeUnwrap();
  assert.equal(statement.kind, 'change');
  return applyCommands(deepFreeze(document), (statement as Change).commands);
}

const SERVED = apply(
  'begin serve model labels version 1 objective fewest-changes; serve adapter dutch on labels version 3; drain v1; ask role decode for e1 commit',
)._unsafeUnwrap().document;

test('a command changes only the entries and fields that it names', () => {
  const { document, description } = apply('roll model labels to 2', SERVED)._unsafeUnwrap();
  assert.deepEqual(document.models.labels, {
    version: '2',
    objective: 'fewest-changes',
    adapters: { dutch: { version: '3' } },
  });
  assert.deepEqual(description, ['model labels rolls from version 1 to 2']);
  assert.equal(
    apply('serve model labels version 4', SERVED)._unsafeUnwrap().document.models.labels?.objective,
    'fewest-changes',
  );
  assert.deepEqual(
    apply('begin return v1; release role of e1 commit', SERVED)._unsafeUnwrap().document.backends,
    {},
  );
  assert.deepEqual(apply('drain e1', SERVED)._unsafeUnwrap().document.backends.e1, {
    drained: true,
    role: 'decode',
  });
  assert.equal(
    apply('set share of class interactive to 0.5')._unsafeUnwrap().document.classes.interactive
      ?.share,
    0.5,
  );
});

test('setting a tenant without key digests keeps its existing ones', () => {
  const digest = 'A'.repeat(64);
  const keyed = apply(
    `set tenant t class interactive weight 1 key digest ${digest}`,
  )._unsafeUnwrap().document;
  const heavier = apply('set tenant t class interactive weight 2', keyed)._unsafeUnwrap().document;
  assert.deepEqual(heavier.tenants.t, {
    class: 'interactive',
    weight: 2,
    keyDigests: [digest.toLowerCase()],
  });
});

test('a block of commands is applied completely or not at all, and validated only after its last command', () => {
  const moved = apply(
    'begin remove class interactive; set class night priority 5 share 0.4 deadline 9h commit',
  );
  assert.deepEqual(Object.keys(moved._unsafeUnwrap().document.classes), ['night']);
  const broken = apply('begin drain v2; roll model nothing to 2 commit', SERVED)._unsafeUnwrapErr();
  assert.equal(broken.outcome, 'refused-not-run');
  assert.match(
    broken.message,
    /^Command 2 of 2: The model "nothing" is not served.*None of the commands was applied/,
  );
  assert.equal(SERVED.backends.v2, undefined);
});

for (const [text, problem] of [
  ['set tenant t class night weight 1', /names the class "night", which does not exist/],
  ['set anonymous tenant nobody', /"nobody" does not exist/],
  [
    'begin serve model a version 1; serve adapter dutch on a version 1 commit',
    /adapter "dutch" is on the models/,
  ],
  ['begin serve model dutch version 1 commit', /has the name of a model/],
  ['serve adapter x on constructor version 1', /The model "constructor" is not served/],
  ['stop serving adapter latin on labels', /adapter "latin" on "labels" is not served/],
  ['remove route /tiles', /route "\/tiles" does not exist/],
  [
    'set class c priority 12 share 2 deadline 1.5ms',
    /classes.c.priority: .*classes.c.share: .*classes.c.deadlineMs/,
  ],
] as const) {
  test(`a command with an invalid result is refused: ${text}`, () => {
    assert.match(apply(text, SERVED)._unsafeUnwrapErr().message, problem);
  });
}

test('validation refuses a document with a repeated route, a shared key or an unknown field', () => {
  const route = { prefix: '/tiles', service: 'viewer' };
  assert.match(
    validateDocument({ routes: [route, route] })._unsafeUnwrapErr().message,
    /stated twice/,
  );
  const tenant = { class: 'interactive', keyDigests: ['a'.repeat(64)] };
  assert.match(
    validateDocument({ tenants: { a: tenant, b: tenant } })._unsafeUnwrapErr().message,
    /Give each key to one tenant/,
  );
  assert.match(validateDocument({ modles: {} })._unsafeUnwrapErr().message, /modles/);
  assert.ok(validateDocument({}).isOk());
});

const MAX_ENTRIES = 4;
const name = fc.oneof(
  fc.constantFrom('constructor', 'none', 'begin', 'on', 'version', 'if', '2024.1'),
  fc.stringMatching(/^[a-z0-9][a-z0-9._-]{0,9}$/),
);
const digest = fc.stringMatching(/^[0-9a-f]{64}$/);
const positive = fc.double({ min: 1e-9, max: 1, noNaN: true });
const documents = fc
  .record({
    classes: fc.dictionary(
      name,
      fc.record({
        priority: fc.nat(9),
        share: positive,
        deadlineMs: fc.integer({ min: 1, max: 86_400_000 }),
      }),
      { maxKeys: MAX_ENTRIES },
    ),
    tenants: fc.dictionary(
      name,
      fc.record({ class: name, weight: positive, keyDigests: fc.array(digest, { maxLength: 2 }) }),
      { maxKeys: MAX_ENTRIES },
    ),
    models: fc.dictionary(
      name,
      fc.record({
        version: name,
        objective: fc.constantFrom('goodput', 'fewest-changes'),
        adapters: fc.dictionary(name, fc.record({ version: name }), { maxKeys: 2 }),
      }),
      { maxKeys: MAX_ENTRIES },
    ),
    routes: fc.uniqueArray(
      fc.record({
        prefix: fc.stringMatching(/^\/[A-Za-z0-9/_.-]{0,9}$/),
        service: name,
        repeatable: fc.boolean(),
      }),
      { selector: (route) => route.prefix, maxLength: MAX_ENTRIES },
    ),
    backends: fc.dictionary(
      name,
      fc.oneof(
        fc.constant({ drained: true }),
        fc.record({ drained: fc.boolean(), role: fc.constantFrom('prefill', 'decode', 'mixed') }),
      ),
    ),
    anonymous: fc.boolean(),
  })
  .map(({ anonymous, ...document }) => {
    const tenantClasses = Object.values(document.tenants).map((tenant) => tenant.class);
    const missing = Object.fromEntries(
      tenantClasses.map((missingClass) => [
        missingClass,
        { priority: 1, share: 1, deadlineMs: 1_000 },
      ]),
    );
    const anonymousTenant = anonymous ? (Object.keys(document.tenants)[0] ?? null) : null;
    return { ...document, classes: { ...missing, ...document.classes }, anonymousTenant };
  })
  .filter((document) => validateDocument(document).isOk());

test('a document formatted as commands is rebuilt by applying them to the initial document', () => {
  fc.assert(
    fc.property(documents, (value) => {
      const document = parseDocument(value)._unsafeUnwrap();
      assert.deepEqual(
        apply(formatDocumentAsCommands(document))._unsafeUnwrap().document,
        document,
      );
    }),
    { seed: 20_261_202, numRuns: 150 },
  );
});
