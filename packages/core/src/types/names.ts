/** Name of one instance of the site; unique over its replacements' lifetime. */
export type InstanceName = string;

/** Name of a target: a model engine or a plain service instance. */
export type TargetName = string;

/** Name of an availability zone. */
export type ZoneName = string;

/** Name of a region. */
export type RegionName = string;

/** Name of a workspace, the tenant that a caller belongs to. */
export type WorkspaceName = string;

/** Name of a model, for example `repair-notes`. */
export type ModelName = string;

/** Name of a plain service, for example `invoicing`. */
export type ServiceName = string;

/** `sha256:` and 64 lower-case hexadecimal digits. */
export type Digest = string;

/** SHA-256 digest of a version's manifest; identifies the version. */
export type VersionDigest = Digest;

/** Identifies one attempt to run one request; never reused. */
export type AttemptId = string;

/** Identifies one incarnation of a target by its instance and its start. */
export type TargetIncarnation = string;

/**
 * Identifies a request by its caller and content; the same for each attempt.
 */
export type RequestFingerprint = string;

/** Identifies a part of prompts; the same in each request that contains it. */
export type PromptPartDigest = string;

/** What the end of a target may be caused by. */
export type Suspect = RequestFingerprint | PromptPartDigest;

/** Number of an agent's incarnation; raised in the table at each start. */
export type Incarnation = number;

/** Position of a configuration in the sequence of accepted ones. */
export type Generation = number;

/** Identifies a plan that an operator may confirm. */
export type PlanId = string;
