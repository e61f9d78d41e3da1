/** A row that is told whole once, and by its number from then on. */
export interface NumberedRow<Row> {
  readonly number: number;
  /** Grows when the row has to be told whole again. */
  readonly edition: number;
  readonly row: Row;
}

/** Gives numbers to rows, for all who are told of them. */
export interface RowNumbers<Row> {
  /** The row as it is to be told; the one before it if that is still the same. */
  readonly assign: (key: string, row: Row) => NumberedRow<Row>;
  /** Forgets the rows of all other keys; their numbers are not used again. */
  readonly retain: (keys: ReadonlySet<string>) => void;
}

/** Creates the numbers; `isSame` is whether a row need not be told whole again. */
export function createRowNumbers<Row>(
  isSame: (before: Row, next: Row) => boolean,
): RowNumbers<Row> {
  const rows = new Map<string, NumberedRow<Row>>();
  let lastNumber = 0;

  function assign(key: string, row: Row): NumberedRow<Row> {
    const before = rows.get(key);
    if (before !== undefined && isSame(before.row, row)) return before;
    const number = before?.number ?? (lastNumber += 1);
    const edition = (before?.edition ?? 0) + 1;
    const next = {number, edition, row};
    rows.set(key, next);
    return next;
  }

  return {
    assign,
    retain: keys => {
      for (const key of [...rows.keys()]) if (!keys.has(key)) rows.delete(key);
    },
  };
}

/** What one receiver has been told whole. */
export interface SentRows {
  /** Whether a row must be told whole; it counts as told from then on. */
  readonly mustSendWhole: (row: NumberedRow<unknown>) => boolean;
  /** Numbers that were told and are not among these; they count as untold. */
  readonly dropOthers: (numbers: ReadonlySet<number>) => readonly number[];
}

/** Creates the memory for one stream, whose messages all arrive or none after. */
export function createSentRows(): SentRows {
  const sentEditions = new Map<number, number>();

  return {
    mustSendWhole: ({number, edition}) => {
      if (sentEditions.get(number) === edition) return false;
      sentEditions.set(number, edition);
      return true;
    },
    dropOthers: numbers => {
      const dropped = [...sentEditions.keys()].filter(
        number => !numbers.has(number),
      );
      for (const number of dropped) sentEditions.delete(number);
      return dropped;
    },
  };
}
