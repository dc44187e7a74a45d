/** Rows of the table `config`: the document in force, one row for each configured value. */
import type { VersionedConfiguration } from '../../configuration/document.js';
import type { FieldValue, Row } from '../../language/index.js';

/** One row for each value. Key digests are confidential: only their number is shown. */
export function configurationRows(configuration: VersionedConfiguration): readonly Row[] {
  const { document, version } = configuration;
  const rows: Row[] = [row('configuration', '', 'version', version)];
  for (const [name, model] of Object.entries(document.models)) {
    rows.push(row('models', name, 'version', model.version));
    rows.push(row('models', name, 'objective', model.objective));
    for (const [adapter, { version: adapterVersion }] of Object.entries(model.adapters)) {
      rows.push(row('adapters', `${name}/${adapter}`, 'version', adapterVersion));
    }
  }
  for (const [name, stated] of Object.entries(document.classes)) {
    rows.push(...valueRows('classes', name, stated));
  }
  for (const [name, { keyDigests, ...stated }] of Object.entries(document.tenants)) {
    rows.push(...valueRows('tenants', name, { ...stated, keys: keyDigests.length }));
  }
  for (const { prefix, ...stated } of document.routes) {
    rows.push(...valueRows('routes', prefix, stated));
  }
  for (const [name, stated] of Object.entries(document.backends)) {
    rows.push(...valueRows('backends', name, stated));
  }
  rows.push(row('configuration', '', 'anonymousTenant', document.anonymousTenant));
  return rows;
}

function valueRows(section: string, name: string, values: Record<string, unknown>): Row[] {
  return Object.entries(values)
    .filter((entry): entry is [string, FieldValue] => entry[1] !== undefined)
    .map(([key, value]) => row(section, name, key, value));
}

function row(section: string, name: string, key: string, value: FieldValue): Row {
  return { section, name, key, value };
}
