import * as z from 'zod';

/** What the reference page says about a field. */
export interface FieldDocs {
  readonly type: string;
  /** The value as written in YAML, or `required`, or `none`. */
  readonly default: string;
  readonly meaning: string;
  readonly example: string;
}

/** Notes of each leaf of the schemas, for the reference page. */
export const fieldDocs = z.registry<FieldDocs>();

/** A field that must be given. */
export function field<Schema extends z.ZodType>(
  schema: Schema,
  docs: Omit<FieldDocs, 'default'>,
): Schema {
  fieldDocs.add(schema, {...docs, default: 'required'});
  return schema;
}

/** A field that may be left out; its default is written as in YAML. */
export function fieldWithDefault<Schema extends z.ZodType>(
  schema: Schema,
  value: string | number,
  docs: Omit<FieldDocs, 'default'>,
) {
  const defaulted = schema.prefault(value as z.input<Schema>);
  fieldDocs.add(defaulted, {...docs, default: String(value)});
  return defaulted;
}

/** A field that may be left out, with nothing in its place. */
export function optionalField<Schema extends z.ZodType>(
  schema: Schema,
  docs: Omit<FieldDocs, 'default'>,
) {
  const optional = schema.optional();
  fieldDocs.add(optional, {...docs, default: 'none'});
  return optional;
}

/** A mapping that takes no other fields. */
export function group<Shape extends z.ZodRawShape>(shape: Shape) {
  return z.strictObject(shape, {error: 'must be a mapping of fields'});
}
