import * as z from 'zod';
import {fieldDocs, type FieldDocs} from './fields';
import {agentSchema, eitherRoleSchema, entrySchema} from './schema';

/** A field as shown on the reference page. */
export interface FieldDescription extends FieldDocs {
  /** Names joined by dots; `[]` marks an item of a list. */
  readonly path: string;
  readonly roles: readonly ('entry' | 'agent')[];
}

/** All fields that a settings file may have, in order. */
export function describeFields(): readonly FieldDescription[] {
  const entryPaths = new Set(collect(entrySchema).map(([path]) => path));
  const agentPaths = new Set(collect(agentSchema).map(([path]) => path));
  return collect(eitherRoleSchema).map(([path, schema]) => {
    const docs = docsOf(schema);
    if (docs === undefined) throw new Error(`${path} has no description`);
    return {
      path,
      roles: [
        ...(entryPaths.has(path) ? (['entry'] as const) : []),
        ...(agentPaths.has(path) ? (['agent'] as const) : []),
      ],
      ...docs,
    };
  });
}

/** Whether a setting exists at this path, which may have list positions. */
export function isKnownField(path: readonly (string | number)[]): boolean {
  const pattern = path
    .map(step => (typeof step === 'number' ? '[]' : step))
    .join('.');
  return collect(eitherRoleSchema).some(
    ([known]) => known === pattern || known.startsWith(`${pattern}.`),
  );
}

function docsOf(schema: z.core.$ZodType): FieldDocs | undefined {
  const docs = fieldDocs.get(schema);
  if (docs !== undefined || !(schema instanceof z.ZodOptional)) return docs;
  return docsOf(schema.unwrap());
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
