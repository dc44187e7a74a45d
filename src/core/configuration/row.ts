/** The rows `configuration/current` and `change/<id>` as the table service holds them. */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { ChangeId } from '../common/identifiers.js';
import type { TableRow } from '../platform/table.js';
import {
  type ConfigurationDocument,
  configurationSchema,
  EMPTY_CONFIGURATION,
} from './document.js';

/** The key of the row that holds the configuration in force. */
export const CURRENT_KEY = 'configuration/current';

/** The key of the row that records a change. */
export function changeKey(id: ChangeId): string {
  return `change/${id}`;
}

const currentRowSchema = z.union([
  z.strictObject({ version: z.int().positive(), document: z.unknown() }),
  z.strictObject({ version: z.int().positive(), object: z.string() }),
]);

const changeRecordSchema = z.strictObject({
  version: z.int().positive(),
  digest: z.string(),
  description: z.array(z.string()),
  operator: z.string().optional(),
  at: z.string().optional(),
});

/** The record of a change, written in the same transaction as the document. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** The content of the row: the document itself, or the name of the object that holds it. */
export type CurrentRow =
  | { readonly kind: 'inline'; readonly version: number; readonly document: ConfigurationDocument }
  | { readonly kind: 'object'; readonly version: number; readonly object: string };

/** Parses `configuration/current`; the error describes what is invalid. */
export function parseCurrentRow(row: TableRow | undefined): Result<CurrentRow, string> {
  if (row === undefined || row.value === null) {
    const version = row?.version ?? 0;
    return ok({ kind: 'inline', version, document: EMPTY_CONFIGURATION.document });
  }
  const parsed = currentRowSchema.safeParse(row.value);
  if (!parsed.success || parsed.data.version !== row.version) {
    return err('the row is not of the form that this version of threadfork writes');
  }
  if ('object' in parsed.data) {
    return ok({ kind: 'object', version: row.version, object: parsed.data.object });
  }
  return parseDocument(parsed.data.document).map((document) => ({
    kind: 'inline' as const,
    version: row.version,
    document,
  }));
}

/** Parses a document received from the store or from another daemon. */
export function parseDocument(content: unknown): Result<ConfigurationDocument, string> {
  const parsed = configurationSchema.safeParse(content);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const issue = parsed.error.issues[0];
  return err(
    `the document is invalid at ${issue?.path.join('.') ?? '?'}: ${issue?.message ?? '?'}`,
  );
}

/** Parses `change/<id>`; null when the change is not recorded. */
export function parseChangeRow(row: TableRow | undefined): ChangeRecord | null {
  const parsed = changeRecordSchema.safeParse(row?.value);
  return parsed.success ? parsed.data : null;
}
