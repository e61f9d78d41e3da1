import * as z from 'zod';

/** What the reference page says about a field. */
export interface FieldNotes {
  readonly type: string;
  /** The value as written in YAML, or `required`, or `none`. */
  readonly default: string;
  readonly meaning: string;
  readonly example: string;
}

/** Notes of each leaf of the schemas, for the reference page. */
export const fieldNotes = z.registry<FieldNotes>();

/** A field that must be given. */
export function field<Schema extends z.ZodType>(
  schema: Schema,
  notes: Omit<FieldNotes, 'default'>,
): Schema {
  fieldNotes.add(schema, {...notes, default: 'required'});
  return schema;
}

/** A field that may be left out; its default is written as in YAML. */
export function fieldWithDefault<Schema extends z.ZodType>(
  schema: Schema,
  value: string | number,
  notes: Omit<FieldNotes, 'default'>,
) {
  const defaulted = schema.prefault(value as z.input<Schema>);
  fieldNotes.add(defaulted, {...notes, default: String(value)});
  return defaulted;
}

/** A field that may be left out, with nothing in its place. */
export function optionalField<Schema extends z.ZodType>(
  schema: Schema,
  notes: Omit<FieldNotes, 'default'>,
) {
  const optional = schema.optional();
  fieldNotes.add(optional, {...notes, default: 'none'});
  return optional;
}

/** A mapping that takes no other fields. */
export function group<Shape extends z.ZodRawShape>(shape: Shape) {
  return z.strictObject(shape, {error: 'must be a mapping of fields'});
}
