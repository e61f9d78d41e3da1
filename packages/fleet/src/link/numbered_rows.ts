/** A row that is sent whole once, and referred to by its number afterwards. */
export interface NumberedRow<Row> {
  readonly number: number;
  /** Incremented when the row must be sent whole again. */
  readonly edition: number;
  readonly row: Row;
}

/** Assigns numbers to rows, shared by all receivers. */
export interface RowNumbers<Row> {
  /** Returns the row to send; the previous one if it is still the same. */
  readonly assign: (key: string, row: Row) => NumberedRow<Row>;
  /** Forgets the rows of all other keys; their numbers are not reused. */
  readonly retain: (keys: ReadonlySet<string>) => void;
}

/**
 * Creates the numbers; `isSame` returns whether a row need not be sent whole
 * again.
 */
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

/** Rows that were sent whole to one receiver. */
export interface SentRows {
  /** Whether a row must be sent whole; counts as sent afterwards. */
  readonly mustSendWhole: (row: NumberedRow<unknown>) => boolean;
  /**
   * Returns the sent numbers that are not among these; they count as not sent
   * afterwards.
   */
  readonly dropOthers: (numbers: ReadonlySet<number>) => readonly number[];
}

/**
 * Creates the state of one stream, on which no message arrives after a lost
 * one.
 */
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
