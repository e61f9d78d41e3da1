import {AGENT_TRANSFER_POLICY, type TransferPolicy} from '@hibiscusbeam/core';
import {Err, Ok, type Result} from 'ts-results';
import {parseDocument} from 'yaml';
import * as z from 'zod';

const positiveNumber = z.number().positive();
const positiveInteger = z.int().positive();
const share = z.number().min(0).max(1);

const caseSchema = z.discriminatedUnion('kind', [
  /** A version is named while all engines serve. */
  z.strictObject({kind: z.literal('named')}),
  /** As `named`, but no engine may start requests before it has the version. */
  z.strictObject({kind: z.literal('late')}),
  /**
   * Engines without the version join, one every `gap` ms; the others hold it.
   */
  z.strictObject({
    kind: z.literal('joining'),
    engines: positiveInteger,
    gap: z.number().min(0),
  }),
  /**
   * One engine's machine freezes for good `at` ms after the version is named.
   */
  z.strictObject({kind: z.literal('frozen'), at: z.number().min(0)}),
]);

const policySchema = z
  .strictObject({
    transferBuffer: positiveInteger,
    downloadSlots: positiveInteger,
    uploadSlots: positiveInteger,
    crossZoneRanks: positiveInteger,
    settleTime: z.number().min(0),
    longestOriginWait: z.number().min(0),
    headroom: share,
    shareBesideLive: share,
    pieceSize: positiveInteger,
  } satisfies {[field in keyof TransferPolicy]: z.ZodType<number>})
  .partial()
  .transform((changes): TransferPolicy => ({
    ...AGENT_TRANSFER_POLICY,
    ...omitUndefined(changes),
  }));

const experimentSchema = z.strictObject({
  site: z.strictObject({
    zones: positiveInteger,
    engines: positiveInteger.max(2_000),
    /** Rate of one engine's link in each direction. */
    engineLinkMegabits: positiveNumber,
    originMegabits: positiveNumber,
    /** One-way latency in milliseconds. */
    latency: z.strictObject({
      withinZone: z.number().min(0),
      betweenZones: z.number().min(0),
    }),
  }),
  version: z.strictObject({
    chunks: positiveInteger.max(65_536),
    chunkBytes: positiveInteger,
  }),
  cases: z.array(caseSchema).min(1),
  /**
   * By name; each has the fields that differ from the agents' default policy.
   */
  policies: z.record(z.string(), policySchema),
  seeds: z.array(z.int()).min(1),
});

/** A site, a version, and the cases and policies to compare. */
export type Experiment = z.infer<typeof experimentSchema>;

/** One case of an experiment. */
export type ExperimentCase = z.infer<typeof caseSchema>;

/** A fault in an experiment's file. */
export interface ExperimentFault {
  /** Path of the field, separated by dots; empty for the file itself. */
  readonly field: string;
  readonly message: string;
}

/** Parses an experiment in YAML; the error lists all faults. */
export function readExperiment(
  text: string,
): Result<Experiment, readonly ExperimentFault[]> {
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    return Err(document.errors.map(({message}) => ({field: '', message})));
  }
  const parsed = experimentSchema.safeParse(document.toJS());
  if (parsed.success) return Ok(parsed.data);
  return Err(
    parsed.error.issues.map(({path, message}) => ({
      field: path.join('.'),
      message,
    })),
  );
}

function omitUndefined(
  changes: Partial<TransferPolicy>,
): Partial<TransferPolicy> {
  const entries = Object.entries(changes);
  return Object.fromEntries(entries.filter(([, value]) => value !== undefined));
}
