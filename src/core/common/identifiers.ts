/**
 * Names and identifiers shared by all modules of the core. String identifiers are opaque outside the module that
 * creates them.
 */

/** A daemon's configured name: unique in the fleet, and unchanged by restarts. */
export type DaemonName = string;
/** Distinguishes successive processes of a daemon under one name; grows with each start. */
export type Incarnation = number;
/** The name of a backend (engine or web backend) as given in the machine list. */
export type BackendName = string;
/** A failure domain, for example `leiden-a`. */
export type ZoneName = string;
/** The base model that callers name, for example `labels`. */
export type ModelName = string;
/** A fine-tuned adapter over a base model; callers may name it as a model. */
export type AdapterName = string;
/** The version of a model or adapter, as named by the weight store. */
export type VersionName = string;
/** A kind of work with a priority, share and deadline. */
export type ClassName = string;
/** The owner of an API key. */
export type TenantName = string;
/** Identifies one caller request; created by the daemon that accepted it: `<daemon>-<incarnation>-<counter>`. */
export type RequestId = string;
/** Identifies one dispatch of a request to one backend: `<requestId>.<attempt number>`. */
export type AttemptId = string;
/** Identifies one durable order to one engine. */
export type OrderId = string;
/** Identifies one operator change; the operator may choose the id so that a repeated change takes effect only once. */
export type ChangeId = string;
/** Identifies one boot of an engine; an engine draws a new id at each start. */
export type BootId = string;
/** The name of a group of engines under one controller, as given in the machine list. */
export type PoolName = string;
