const BINARY_UNITS = ['B', 'KiB', 'MiB', 'GiB', 'TiB'];

/** Replaces control characters, which a terminal would interpret, by spaces. */
export function sanitizeText(text: string): string {
  return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, ' ');
}

/**
 * Formats rows under headings in aligned columns, without a final line break.
 */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [headings, ...rows].map(row => row.map(sanitizeText));
  const widths = headings.map((_heading, column) =>
    Math.max(...lines.map(line => line[column]?.length ?? 0)),
  );
  return lines
    .map(line =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats a number of bytes, such as `1.5 GiB`. */
export function formatBytes(bytes: number): string {
  let amount = bytes;
  let unit = 0;
  while (amount >= 1_024 && unit < BINARY_UNITS.length - 1) {
    amount /= 1_024;
    unit += 1;
  }
  const digits = unit === 0 || amount >= 100 ? 0 : 1;
  return `${amount.toFixed(digits)} ${BINARY_UNITS[unit]}`;
}

/** Formats a duration, rounded up to seconds, such as `2 m 5 s`. */
export function formatSeconds(seconds: number): string {
  const wholeSeconds = Math.ceil(seconds);
  if (wholeSeconds < 60) return `${wholeSeconds} s`;
  const minutes = Math.floor(wholeSeconds / 60);
  if (minutes < 60) return `${minutes} m ${wholeSeconds % 60} s`;
  return `${Math.floor(minutes / 60)} h ${minutes % 60} m`;
}

/** Formats a progress bar such as `[####......]` for a share from 0 to 1. */
export function formatBar(share: number, width: number): string {
  const bounded = Math.min(1, Math.max(0, share));
  const filledWidth = Math.floor(bounded * width);
  return `[${'#'.repeat(filledWidth)}${'.'.repeat(width - filledWidth)}]`;
}
