import * as z from 'zod';

/** Documentation of a field for the reference page. */
export interface FieldDocs {
  readonly type: string;
  /** The value as written in YAML, or `required`, or `none`. */
  readonly default: string;
  readonly meaning: string;
  readonly example: string;
}

/** Documentation of each leaf of the schemas. */
export const fieldDocs = z.registry<FieldDocs>();

/** A required field. */
export function field<Schema extends z.ZodType>(
  schema: Schema,
  docs: Omit<FieldDocs, 'default'>,
): Schema {
  fieldDocs.add(schema, {...docs, default: 'required'});
  return schema;
}

/** An optional field with a default, written as in YAML. */
export function fieldWithDefault<Schema extends z.ZodType>(
  schema: Schema,
  value: string | number,
  docs: Omit<FieldDocs, 'default'>,
) {
  const defaulted = schema.prefault(value as z.input<Schema>);
  fieldDocs.add(defaulted, {...docs, default: String(value)});
  return defaulted;
}

/** An optional field without a default. */
export function optionalField<Schema extends z.ZodType>(
  schema: Schema,
  docs: Omit<FieldDocs, 'default'>,
) {
  const optional = schema.optional();
  fieldDocs.add(optional, {...docs, default: 'none'});
  return optional;
}

/** A mapping of fields; unknown fields are faults. */
export function group<Shape extends z.ZodRawShape>(shape: Shape) {
  return z.strictObject(shape, {error: 'must be a mapping of fields'});
}
