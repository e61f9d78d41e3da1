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
import type {FieldPath, SettingsFault, UnlocatedFault} from './types';

/** A settings file as read: its values and the position of each. */
export interface SettingsSource {
  /** The file's values; `undefined` if the YAML is malformed. */
  readonly value: unknown;
  readonly faults: readonly SettingsFault[];
  readonly locate: (fault: UnlocatedFault) => SettingsFault;
}

type LocateAt = (fault: UnlocatedFault, offset: number) => SettingsFault;

/** Reads YAML text and keeps the position of each field. */
export function readSource(text: string, file: string): SettingsSource {
  const lineCounter = new LineCounter();
  const locateAt: LocateAt = (fault, offset) => {
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
    const locate = (fault: UnlocatedFault) => locateAt(fault, 0);
    const fault = locate(malformed([], 'is nested too deep'));
    return {value: undefined, faults: [fault], locate};
  }
  const document = parseDocument(text, {
    lineCounter,
    prettyErrors: false,
    logLevel: 'error',
    uniqueKeys: false,
  });
  const locate = (fault: UnlocatedFault) =>
    locateAt(fault, findOffset(document.contents, fault.path));
  const syntaxFaults = findSyntaxFaults(document, locateAt);
  if (syntaxFaults.length > 0) {
    return {value: undefined, faults: syntaxFaults, locate};
  }
  return {
    value: document.toJS() as unknown,
    faults: findDuplicateFields(document.contents, [], locateAt),
    locate,
  };
}

function malformed(path: FieldPath, detail: string): UnlocatedFault {
  return {kind: 'malformedYaml', path, detail};
}

function findSyntaxFaults(
  document: Document.Parsed,
  locateAt: LocateAt,
): readonly SettingsFault[] {
  const problems = [...document.errors, ...document.warnings].map(problem =>
    locateAt(
      malformed([], `malformed YAML: ${problem.message}`),
      problem.pos[0],
    ),
  );
  return [...problems, ...findUnsupported(document.contents, [], locateAt)];
}

/** Finds aliases and structured field names, which are not supported. */
function findUnsupported(
  node: unknown,
  path: FieldPath,
  locateAt: LocateAt,
): readonly SettingsFault[] {
  if (isAlias(node)) {
    const fault = malformed(path, 'YAML aliases are not supported');
    return [locateAt(fault, offsetOf(node))];
  }
  if (isSeq(node)) {
    return node.items.flatMap((item, position) =>
      findUnsupported(item, [...path, position], locateAt),
    );
  }
  if (!isMap(node)) return [];
  return node.items.flatMap(pair => {
    if (!isScalar(pair.key)) {
      const fault = malformed(path, 'a field name must be plain text');
      return [locateAt(fault, offsetOf(pair.key))];
    }
    return findUnsupported(pair.value, [...path, nameOf(pair)], locateAt);
  });
}

function findDuplicateFields(
  node: unknown,
  path: FieldPath,
  locateAt: LocateAt,
): readonly SettingsFault[] {
  if (isSeq(node)) {
    return node.items.flatMap((item, position) =>
      findDuplicateFields(item, [...path, position], locateAt),
    );
  }
  if (!isMap(node)) return [];
  const seen = new Set<string>();
  return node.items.flatMap(pair => {
    const fieldPath = [...path, nameOf(pair)];
    const below = findDuplicateFields(pair.value, fieldPath, locateAt);
    if (!seen.has(nameOf(pair))) {
      seen.add(nameOf(pair));
      return below;
    }
    const fault = malformed(fieldPath, 'is given twice');
    return [locateAt(fault, offsetOf(pair.key)), ...below];
  });
}

/**
 * The offset at which a fault is reported: a plain value itself, the name of a
 * group or list, and for a missing field its nearest enclosing group.
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
