/** Maps request paths to services and to operations on the model. */
import type { z } from 'zod';
import type { Milliseconds } from '../../core/common/time.js';
import { faultsRequestSchema, type Service } from './faults.js';
import { type Answer, errorAnswer, jsonAnswer, parseJson } from './http-exchange.js';
import type { PlatformModel } from './model.js';
import {
  getRequestSchema,
  putMachineRequestSchema,
  putWeightRequestSchema,
  scanRequestSchema,
  transactRequestSchema,
} from './wire.js';

const KIBIBYTE = 1_024;
const MAX_TABLE_BODY_BYTES = 256 * KIBIBYTE;
const MAX_OBJECT_BYTES = 16 * KIBIBYTE * KIBIBYTE;
const MAX_ADMIN_BODY_BYTES = 64 * KIBIBYTE;

/** The route of a call. */
export interface Route {
  /** Null for admin calls, to which neither rate limit nor faults apply. */
  readonly service: Service | null;
  readonly writes: boolean;
  readonly maxBodyBytes: number;
  /** Applies the call to the model. */
  readonly apply: (model: PlatformModel, body: Buffer, now: Milliseconds) => Answer;
}

/** The route of a request; null for an unknown path. */
export function route(method: string, path: string): Route | null {
  const [, root = '', ...rest] = path.split('/').map(decodeURIComponent);
  const name = rest.join('/');
  switch (`${method} /${root}`) {
    case 'POST /table':
      return tableRoute(name);
    case 'GET /objects':
      return objectRoute(false, (model) => getObject(model, name));
    case 'PUT /objects':
      return objectRoute(true, (model, body) => putObject(model, name, body));
    case 'GET /weights':
      return weightsRoute(rest);
    case 'GET /machines':
      return {
        service: 'machines',
        writes: false,
        maxBodyBytes: 0,
        apply: (model, _body, now) => listMachines(model, rest, now),
      };
    case 'POST /machines':
      return admin(putMachineRequestSchema, (model, { machine }, now) => {
        model.machines.put(machine, now);
      });
    case 'DELETE /machines':
      return adminRoute((model, _body, now) => {
        model.machines.remove(name, now);
        return jsonAnswer(200, {});
      });
    case 'POST /weights':
      return admin(putWeightRequestSchema, (model, { bytes, ...weight }) => {
        model.weights.add(weight, bytes);
      });
    case 'POST /faults':
      return admin(faultsRequestSchema, (model, faults) => model.setFaults(faults));
    case 'GET /faults':
      return adminRoute((model) => jsonAnswer(200, model.faults()));
    case 'GET /counts':
      return adminRoute((model) => jsonAnswer(200, model.counts()));
    default:
      return null;
  }
}

/** `GET /machines`, or `GET /machines/unless/<revision>`, which omits an unchanged list. */
function listMachines(model: PlatformModel, rest: readonly string[], now: Milliseconds): Answer {
  const revision = model.machines.revisionAt(now);
  const { ageMs, machines } = model.machines.read(now);
  const isKnown = rest[0] === 'unless' && rest[1] === revision;
  return jsonAnswer(200, isKnown ? { ageMs, revision } : { ageMs, revision, machines });
}

function tableRoute(kind: string): Route | null {
  switch (kind) {
    case 'get':
      return table(false, getRequestSchema, (model, call) =>
        jsonAnswer(200, { rows: model.applyTable({ kind: 'get', ...call }).rows }),
      );
    case 'scan':
      return table(false, scanRequestSchema, (model, call) =>
        jsonAnswer(200, { rows: model.applyTable({ kind: 'scan', ...call }).rows }),
      );
    case 'transact':
      return table(true, transactRequestSchema, (model, call) => {
        const result = model.applyTable({ kind: 'transact', ...call });
        const committed = result.kind === 'committed';
        return jsonAnswer(committed ? 200 : 409, { committed, rows: result.rows });
      });
    default:
      return null;
  }
}

function table<T>(
  writes: boolean,
  schema: z.ZodType<T>,
  apply: (model: PlatformModel, call: T) => Answer,
): Route {
  return {
    service: 'table',
    writes,
    maxBodyBytes: MAX_TABLE_BODY_BYTES,
    apply: (model, body) => withBody(schema, body, (call) => apply(model, call)),
  };
}

function objectRoute(writes: boolean, apply: Route['apply']): Route {
  return { service: 'objects', writes, maxBodyBytes: MAX_OBJECT_BYTES, apply };
}

function getObject(model: PlatformModel, name: string): Answer {
  const content = model.objects.get(name);
  if (content === null) return errorAnswer(404, 'no such object');
  return { status: 200, headers: { 'content-type': 'application/octet-stream' }, body: content };
}

function putObject(model: PlatformModel, name: string, body: Buffer): Answer {
  const outcome = model.objects.put(name, body);
  if (outcome === 'exists') return errorAnswer(412, 'the object exists with other content');
  return jsonAnswer(outcome === 'stored' ? 201 : 200, {});
}

function weightsRoute(rest: readonly string[]): Route | null {
  const [model, version, adapter] = rest;
  if (model === undefined || version === undefined || rest.length > 3) return null;
  return {
    service: 'weights',
    writes: false,
    maxBodyBytes: 0,
    apply: (platform) => {
      const bytes = platform.weights.bytes({ model, version, adapter });
      return bytes === null ? errorAnswer(404, 'no such weights') : jsonAnswer(200, { bytes });
    },
  };
}

function admin<T>(
  schema: z.ZodType<T>,
  apply: (model: PlatformModel, value: T, now: Milliseconds) => void,
): Route {
  return adminRoute((model, body, now) =>
    withBody(schema, body, (value) => {
      apply(model, value, now);
      return jsonAnswer(200, {});
    }),
  );
}

function adminRoute(apply: Route['apply']): Route {
  return { service: null, writes: false, maxBodyBytes: MAX_ADMIN_BODY_BYTES, apply };
}

function withBody<T>(schema: z.ZodType<T>, body: Buffer, apply: (value: T) => Answer): Answer {
  const parsed = schema.safeParse(parseJson(body));
  if (parsed.success) return apply(parsed.data);
  const issue = parsed.error.issues[0];
  return errorAnswer(400, `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'malformed'}`);
}
