import {
  isAlias,
  isMap,
  isScalar,
  isSeq,
  LineCounter,
  parseDocument,
  type Document,
  type Pair,
  type YAMLMap,
} from 'yaml';
import {isNestedTooDeep} from './nesting';
import type {FieldPath, SettingsFault, UnplacedFault} from './types';

/** A settings file as read: its values, and where each one stands. */
export interface SettingsSource {
  /** The file's values; `undefined` if the YAML is malformed. */
  readonly value: unknown;
  readonly faults: readonly SettingsFault[];
  readonly place: (fault: UnplacedFault) => SettingsFault;
}

type PlaceAt = (fault: UnplacedFault, offset: number) => SettingsFault;

/** Reads YAML text and keeps the position of every field. */
export function readSource(text: string, file: string): SettingsSource {
  const lineCounter = new LineCounter();
  const placeAt: PlaceAt = (fault, offset) => {
    const {line, col} = lineCounter.linePos(offset);
    return {
      kind: fault.kind,
      file,
      line: Math.max(line, 1),
      column: Math.max(col, 1),
      path: fault.path.join('.'),
      detail: fault.detail,
    };
  };
  if (isNestedTooDeep(text)) {
    const place = (fault: UnplacedFault) => placeAt(fault, 0);
    const fault = place(malformed([], 'is nested too deep'));
    return {value: undefined, faults: [fault], place};
  }
  const document = parseDocument(text, {
    lineCounter,
    prettyErrors: false,
    logLevel: 'error',
    uniqueKeys: false,
  });
  const place = (fault: UnplacedFault) =>
    placeAt(fault, findOffset(document.contents, fault.path));
  const syntaxFaults = findSyntaxFaults(document, placeAt);
  if (syntaxFaults.length > 0) {
    return {value: undefined, faults: syntaxFaults, place};
  }
  return {
    value: document.toJS() as unknown,
    faults: findRepeatedFields(document.contents, [], placeAt),
    place,
  };
}

function malformed(path: FieldPath, detail: string): UnplacedFault {
  return {kind: 'malformedYaml', path, detail};
}

function findSyntaxFaults(
  document: Document.Parsed,
  placeAt: PlaceAt,
): readonly SettingsFault[] {
  const problems = [...document.errors, ...document.warnings].map(problem =>
    placeAt(
      malformed([], `malformed YAML: ${problem.message}`),
      problem.pos[0],
    ),
  );
  return [...problems, ...findUnsupported(document.contents, [], placeAt)];
}

/** Aliases and structured field names, which settings have no use for. */
function findUnsupported(
  node: unknown,
  path: FieldPath,
  placeAt: PlaceAt,
): readonly SettingsFault[] {
  if (isAlias(node)) {
    const fault = malformed(path, 'YAML aliases are not supported');
    return [placeAt(fault, offsetOf(node))];
  }
  if (isSeq(node)) {
    return node.items.flatMap((item, position) =>
      findUnsupported(item, [...path, position], placeAt),
    );
  }
  if (!isMap(node)) return [];
  return node.items.flatMap(pair => {
    if (!isScalar(pair.key)) {
      const fault = malformed(path, 'a field name must be plain text');
      return [placeAt(fault, offsetOf(pair.key))];
    }
    return findUnsupported(pair.value, [...path, nameOf(pair)], placeAt);
  });
}

function findRepeatedFields(
  node: unknown,
  path: FieldPath,
  placeAt: PlaceAt,
): readonly SettingsFault[] {
  if (isSeq(node)) {
    return node.items.flatMap((item, position) =>
      findRepeatedFields(item, [...path, position], placeAt),
    );
  }
  if (!isMap(node)) return [];
  const seen = new Set<string>();
  return node.items.flatMap(pair => {
    const fieldPath = [...path, nameOf(pair)];
    const below = findRepeatedFields(pair.value, fieldPath, placeAt);
    if (!seen.has(nameOf(pair))) {
      seen.add(nameOf(pair));
      return below;
    }
    const fault = malformed(fieldPath, 'is given twice');
    return [placeAt(fault, offsetOf(pair.key)), ...below];
  });
}

/**
 * Where a fault is shown: at a plain value itself, at the name of a group or
 * list, and for a missing field at the nearest group around it.
 */
function findOffset(root: unknown, path: FieldPath): number {
  let node = root;
  let offset = offsetOf(root);
  for (const step of path) {
    if (isSeq(node)) {
      node = node.items[Number(step)];
      offset = offsetOf(node);
    } else if (isMap(node)) {
      const pair = findPair(node, String(step));
      if (pair === undefined) return offset;
      node = pair.value;
      offset = offsetOf(isScalar(node) ? node : pair.key);
    }
  }
  return offset;
}

function findPair(map: YAMLMap, name: string): Pair | undefined {
  return map.items.findLast(pair => nameOf(pair) === name);
}

function nameOf(pair: Pair): string {
  return isScalar(pair.key) ? String(pair.key.value ?? '') : String(pair.key);
}

function offsetOf(node: unknown): number {
  const range = (node as {readonly range?: readonly number[] | null} | null)
    ?.range;
  return range?.[0] ?? 0;
}
