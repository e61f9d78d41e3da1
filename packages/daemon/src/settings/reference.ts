import * as z from 'zod';
import {fieldNotes, type FieldNotes} from './fields';
import {agentSchema, eitherRoleSchema, entrySchema} from './schema';

/** One field as the reference page shows it. */
export interface FieldDescription extends FieldNotes {
  /** Names joined by dots; `[]` marks an item of a list. */
  readonly path: string;
  readonly roles: readonly ('entry' | 'agent')[];
}

/** Every field that a settings file may hold, in order. */
export function describeFields(): readonly FieldDescription[] {
  const entryPaths = new Set(collect(entrySchema).map(([path]) => path));
  const agentPaths = new Set(collect(agentSchema).map(([path]) => path));
  return collect(eitherRoleSchema).map(([path, schema]) => {
    const notes = notesOf(schema);
    if (notes === undefined) throw new Error(`${path} has no description`);
    return {
      path,
      roles: [
        ...(entryPaths.has(path) ? (['entry'] as const) : []),
        ...(agentPaths.has(path) ? (['agent'] as const) : []),
      ],
      ...notes,
    };
  });
}

/** Whether any process has a setting at this path; list positions count. */
export function isKnownField(path: readonly (string | number)[]): boolean {
  const pattern = path
    .map(step => (typeof step === 'number' ? '[]' : step))
    .join('.');
  return collect(eitherRoleSchema).some(
    ([known]) => known === pattern || known.startsWith(`${pattern}.`),
  );
}

function notesOf(schema: z.core.$ZodType): FieldNotes | undefined {
  const notes = fieldNotes.get(schema);
  if (notes !== undefined || !(schema instanceof z.ZodOptional)) return notes;
  return notesOf(schema.unwrap());
}

function collect(
  schema: z.core.$ZodType,
  path: readonly string[] = [],
): readonly (readonly [string, z.core.$ZodType])[] {
  const inner = withoutWrappers(schema);
  if (inner instanceof z.ZodObject) {
    return Object.entries(inner.shape as z.ZodRawShape).flatMap(
      ([name, child]) => collect(child, [...path, name]),
    );
  }
  if (inner instanceof z.ZodArray) {
    return collect(inner.element, [...path, '[]']);
  }
  return [[path.join('.'), schema]];
}

function withoutWrappers(schema: z.core.$ZodType): z.core.$ZodType {
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodPrefault) {
    return withoutWrappers(schema.unwrap());
  }
  return schema;
}
